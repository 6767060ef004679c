package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

//go:embed wire.json
var wireJSON []byte

// names are the platform's names that the daemons' own packages may not use.
var names = func() map[string]string {
	var m map[string]string
	check(json.Unmarshal(wireJSON, &m))
	return m
}()

// wire replaces each ${name} in a text by the platform's name.
func wire(text string) string {
	for key, name := range names {
		text = strings.ReplaceAll(text, "${"+key+"}", name)
	}
	return text
}
