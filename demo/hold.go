package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// EnvironmentFile is the name of the file in the run's directory that a shell can
// source to reach a fleet started with Options.HoldOutput.
const EnvironmentFile = "demo.env"

// hold keeps the fleet running until ctx ends. It writes the environment file and
// the instructions for using it.
func (r *run) hold(ctx context.Context) error {
	path := filepath.Join(r.directory, EnvironmentFile)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, settingsPermissions)
	if err != nil {
		return &SetupError{Step: "environment file", Err: err}
	}
	r.writeEnvironment(file)
	if err := file.Close(); err != nil {
		return &SetupError{Step: "environment file", Err: err}
	}
	fmt.Fprintf(r.options.HoldOutput, "The fleet is running. In another shell:\n\n  . %s\n  usherctl hosts\n\nCtrl-C stops it.\n", path)
	<-ctx.Done()
	return r.processes.check()
}

func (r *run) writeEnvironment(w io.Writer) {
	fmt.Fprintf(w, "export PATH=%q:$PATH\n", r.options.Binaries)
	fmt.Fprintf(w, "export USHERCTL_API=http://%s\n", r.api)
	fmt.Fprintf(w, "export USHERCTL_TOKEN=%s\n", r.secrets.token)
	fmt.Fprintf(w, "export DEMO_DIR=%q\n", r.directory)
	fmt.Fprintf(w, "export PLATFORM=%s\n", r.platform)
	fmt.Fprintf(w, "export STANDINS=%s\n", r.standins)
	for i, h := range r.hosts {
		fmt.Fprintf(w, "export ENTRY%d=%s ADMIN%d=%s\n", i+1, h.CallerAddress, i+1, h.admin)
	}
}
