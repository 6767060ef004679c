package workspace

import (
	"iter"
	"maps"

	"github.com/agateusher/agateusher/core/model"
)

// Table finds the workspace of a key. It is immutable.
type Table struct {
	policy  KeyPolicy
	holders map[Digest]holder
	byName  map[model.WorkspaceID]*Workspace
	// incomplete is set if there may be keys that could not be read.
	incomplete bool
	empty      bool
}

// holder is the workspace that a key belongs to.
type holder struct {
	workspace *Workspace // nil: the key is accepted for none
	// unreadable is set if a workspace that could not be decoded has the key.
	unreadable bool
}

// NewTable returns a table over the workspaces of a configuration.
func NewTable(policy KeyPolicy, workspaces []Workspace, unreadable []Unreadable) *Table {
	t := &Table{
		policy: policy, holders: map[Digest]holder{}, byName: make(map[model.WorkspaceID]*Workspace, len(workspaces)),
		empty: len(workspaces)+len(unreadable) == 0,
	}
	for i := range workspaces {
		w := &workspaces[i]
		t.byName[w.Name] = w
		for _, k := range w.Keys {
			if other, ok := t.holders[k]; ok && other.workspace != w {
				t.holders[k] = holder{}
				continue
			}
			t.holders[k] = holder{workspace: w}
		}
	}
	for _, u := range unreadable {
		t.incomplete = t.incomplete || u.KeysUnknown
		for _, k := range u.Keys {
			t.holders[k] = holder{unreadable: true}
		}
	}
	return t
}

// Workspace returns the workspace with a name; nil if there is none.
func (t *Table) Workspace(name model.WorkspaceID) *Workspace { return t.byName[name] }

// Policy returns whether requests need a key.
func (t *Table) Policy() KeyPolicy { return t.policy }

// Empty reports whether the configuration names no workspace.
func (t *Table) Empty() bool { return t.empty }

// Has reports whether any workspace has a key.
func (t *Table) Has(key Digest) bool {
	_, ok := t.holders[key]
	return ok
}

// Keys returns the keys of all workspaces.
func (t *Table) Keys() iter.Seq[Digest] { return maps.Keys(t.holders) }
