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

// ModuleID is the dotted name of a module, "<namespace>.<name>", for example
// "detector.sequential".
type ModuleID string

// Namespace returns the part before the last dot.
func (id ModuleID) Namespace() string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id[:i])
	}
	return ""
}

// Module is a plug-in that programs select by ID in their settings. Its exported
// fields are its own settings.
type Module interface {
	// ModuleInfo describes the module. The result must not depend on the
	// receiver's fields.
	ModuleInfo() ModuleInfo
}

// ModuleInfo describes a module.
type ModuleInfo struct {
	ID ModuleID
	// New returns an instance with default settings.
	New func() Module
}

// Provisioner is implemented by modules that need initialisation after their
// settings are decoded.
type Provisioner interface {
	Provision() error
}

// Validator is implemented by modules that check their settings. Load calls it
// after Provision.
type Validator interface {
	Validate() error
}

// CleanerUpper is implemented by modules that hold resources to release.
type CleanerUpper interface {
	Cleanup() error
}

// ErrUnknownModule is wrapped by ModuleError for an ID that is not registered.
var ErrUnknownModule = errors.New("unknown module")

// ModuleError reports the module that failed to load and the step that failed:
// "decode", "provision" or "validate".
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

// Register adds a module. It is called from init functions. It panics on a
// duplicate ID, an ID without a namespace or a nil New, which are programming
// errors.
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

// Modules returns the registered IDs of a namespace in alphabetical order.
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

// Load creates the module id, decodes raw (JSON with comments; may be empty)
// over its defaults, provisions and validates it. Unknown keys are errors. Errors are
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
