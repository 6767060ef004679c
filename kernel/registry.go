package kernel

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

// ModuleID is a plug-in's dotted name, "<namespace>.<name>", for example
// "detector.sequential".
type ModuleID string

// Namespace returns the part before the last dot.
func (id ModuleID) Namespace() string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id[:i])
	}
	return ""
}

// Module is a plug-in. Its exported fields are its settings.
type Module interface {
	// ModuleInfo describes the plug-in; it must not depend on its fields.
	ModuleInfo() ModuleInfo
}

// ModuleInfo describes a plug-in.
type ModuleInfo struct {
	ID ModuleID
	// New returns an instance with default settings.
	New func() Module
}

// Provisioner is implemented by plug-ins that prepare themselves after their
// settings are decoded.
type Provisioner interface {
	Provision() error
}

// Validator is implemented by plug-ins that check their settings after
// Provision.
type Validator interface {
	Validate() error
}

// CleanerUpper is implemented by plug-ins that hold something to release.
type CleanerUpper interface {
	Cleanup() error
}

// ErrUnknownModule is returned for an ID that no plug-in has registered.
var ErrUnknownModule = errors.New("unknown module")

// ModuleError says which plug-in failed and at which step: "decode",
// "provision" or "validate".
type ModuleError struct {
	ID   ModuleID
	Step string
	Err  error
}

// Error implements error.
func (e *ModuleError) Error() string {
	return fmt.Sprintf("module %s: %s: %v", e.ID, e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *ModuleError) Unwrap() error { return e.Err }

var registry = struct {
	sync.RWMutex
	modules map[ModuleID]ModuleInfo
}{modules: map[ModuleID]ModuleInfo{}}

// Register adds a plug-in. It is called from init functions and panics on a
// duplicate or malformed ID, which is a programming error.
func Register(m Module) {
	info := m.ModuleInfo()
	if info.ID.Namespace() == "" || info.New == nil {
		panic(fmt.Sprintf("kernel: malformed module %q", info.ID))
	}
	registry.Lock()
	defer registry.Unlock()
	if _, dup := registry.modules[info.ID]; dup {
		panic(fmt.Sprintf("kernel: module %q registered twice", info.ID))
	}
	registry.modules[info.ID] = info
}

// Modules returns the registered IDs of a namespace in order.
func Modules(namespace string) []ModuleID {
	registry.RLock()
	defer registry.RUnlock()
	var ids []ModuleID
	for id := range registry.modules {
		if id.Namespace() == namespace {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Load instantiates the plug-in id, decodes raw (JSON with comments; may be
// empty) over its defaults, provisions and validates it. Errors are
// *ModuleError; an unregistered ID wraps ErrUnknownModule.
func Load(id ModuleID, raw json.RawMessage) (Module, error) {
	registry.RLock()
	info, ok := registry.modules[id]
	registry.RUnlock()
	if !ok {
		return nil, &ModuleError{ID: id, Step: "decode", Err: ErrUnknownModule}
	}
	m := info.New()
	if len(raw) > 0 {
		if err := decodeStrict(raw, m); err != nil {
			return nil, &ModuleError{ID: id, Step: "decode", Err: err}
		}
	}
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(); err != nil {
			return nil, &ModuleError{ID: id, Step: "provision", Err: err}
		}
	}
	if v, ok := m.(Validator); ok {
		if err := v.Validate(); err != nil {
			return nil, &ModuleError{ID: id, Step: "validate", Err: err}
		}
	}
	return m, nil
}

func decodeStrict(raw []byte, dst any) error {
	std, err := hujson.Standardize(append([]byte(nil), raw...))
	if err != nil {
		return err
	}
	dec := json.NewDecoder(strings.NewReader(string(std)))
	dec.DisallowUnknownFields()
	return dec.Decode(dst)
}
