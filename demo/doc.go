// Package demo runs the product on one machine: the stand-in platform and
// backend servers, usher-api, four usherd in two data centres on free loopback
// ports, and load with one gray failure. It is a test tool: it starts processes
// and ends them by their process ID. It builds nothing; the programs must be in
// one directory.
package demo
