// Package demo runs a whole fleet on one machine: the stand-in platform and
// backend servers, usher-api, four usherd in two data centres on free loopback
// ports, and load with one gray failure. It is a test tool that starts processes
// and stops them by their process ID. It builds nothing; the programs must
// already be in one directory.
package demo
