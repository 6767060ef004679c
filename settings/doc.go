// Package settings reads settings files: JSON with comments and trailing
// commas. A file is decoded into a typed struct that already holds the defaults
// and is then validated. All mistakes in a file are reported together, each with
// file, line, key, value and what was expected. An unknown key is a mistake.
package settings
