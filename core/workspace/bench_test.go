package workspace

import (
	"fmt"
	"testing"

	"github.com/agateusher/agateusher/core/model"
)

// BenchmarkDecide measures what a request with a key costs in a configuration of 86
// workspaces.
func BenchmarkDecide(b *testing.B) {
	var workspaces []Workspace
	for i := range 86 {
		workspaces = append(workspaces, Workspace{Name: model.WorkspaceID(fmt.Sprint("w", i)), Keys: []Digest{DigestOf(fmt.Sprint("key-", i)), DigestOf(fmt.Sprint("old-", i))}})
	}
	table := NewTable(KeysRequired, workspaces, nil)
	never := func(Digest) bool { return false }
	b.ReportAllocs()
	for b.Loop() {
		c := ParseCredentials([]string{"Bearer key-42"})
		if table.Decide(Request{Credentials: c, Required: true, Trusted: true}, never).Workspace == nil {
			b.Fatal("the key was not accepted")
		}
	}
}
