package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed platform.json
var platformFile []byte

// platform holds the names and messages of the platform's pages. They stand in a file of
// data, as the repository keeps the platform's names out of its other packages.
var platform = readPlatform()

type platformNames struct {
	Deadline, Target, Instance, Signature string
	Objects, Readiness, Settings          string
	Status, Config                        json.RawMessage
}

func readPlatform() (n platformNames) {
	if err := json.Unmarshal(platformFile, &n); err != nil {
		panic(err)
	}
	return n
}
