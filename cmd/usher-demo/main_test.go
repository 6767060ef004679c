package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an exit status of 0 after a failure.
func TestExitStatus(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"help", []string{"--help"}, 0},
		{"wrong flag", []string{"--bogus"}, exitUsage},
		{"no programs", []string{"--log-level=error", "--binaries", "/nonexistent"}, exitFailure},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			NewWithT(t).Expect(run(t.Context(), tt.args, &stdout, &stderr)).To(Equal(tt.want), stderr.String())
		})
	}
}
