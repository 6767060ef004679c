package main

import "errors"

// errPlatformMissing reports that package standin/platform is not linked in.
var errPlatformMissing = errors.New("this build has no stand-in platform")

// platformCommand is the sub-command "platform". It announces its address with
// one standin.Line of kind LinePlatform, then one of kind LineReady.
type platformCommand struct {
	program *program

	Listen string `long:"listen" default:"127.0.0.1:0" description:"address of the object API, the host list and their administration"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error { return errPlatformMissing }
