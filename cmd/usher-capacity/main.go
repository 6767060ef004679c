// Command usher-capacity measures the resource cost of agateusher per route,
// workspace, server, host, request, key and change, and generates the tables of
// docs/CAPACITY.md from the measurements.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/capacity"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

type measureCommand struct {
	File     string   `long:"file" default:"docs/capacity/measured.json" description:"file of the measurements; sections that are not measured stay as they are"`
	Sections []string `long:"section" description:"section to measure; all by default"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	return capacity.UpdateMeasurements(os.Stdout, c.File, c.Sections)
}

type pageCommand struct {
	File string `long:"file" default:"docs/capacity/measured.json" description:"file of the measurements"`
	Page string `long:"page" default:"docs/CAPACITY.md" description:"page whose tables are generated"`
}

// Execute implements flags.Commander.
func (c *pageCommand) Execute([]string) error { return capacity.UpdatePage(c.Page, c.File) }

func main() {
	var options struct {
		Measure measureCommand `command:"measure" description:"measure and write the measurements"`
		Page    pageCommand    `command:"page" description:"generate the tables of the page"`
	}
	parser := flags.NewNamedParser("usher-capacity", flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.AddGroup("Options", "", &options)
	if err == nil {
		_, err = parser.Parse()
	}
	os.Exit(report(err))
}

func report(err error) int {
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "usher-capacity:", err)
	return exitFailure
}
