package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

// wire has the platform's names.
var wire = func() (w struct {
	RequestID, Deadline, Target, Signature, NotExecuted, Instance string
	ObjectsPath, ReadinessPath, SettingsVariable                  string
	RouteType, Idempotent, NonIdempotent                          string
	InService, WarmupLeft                                         string
}) {
	if err := json.Unmarshal(wireNames, &w); err != nil {
		panic(err)
	}
	return w
}()
