// Package examples reads the example configurations of the two users, Ridemark
// and the consortium, and adapts them to stand-in servers, whose ports are chosen
// at run time.
package examples

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// ObjectsError reports an objects file that cannot be read or is malformed.
type ObjectsError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ObjectsError) Error() string { return fmt.Sprintf("objects file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ObjectsError) Unwrap() error { return e.Err }

// AddressError reports a server of an objects file for which no stand-in address
// is known.
type AddressError struct {
	Server model.ServerID
}

// Error implements error.
func (e *AddressError) Error() string { return fmt.Sprintf("no address for server %s", e.Server) }

// ReadObjects reads an objects file: JSON with comments, in which unknown fields
// are errors. Errors are *ObjectsError.
func ReadObjects(path string) (snapshot.Objects, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return snapshot.Objects{}, &ObjectsError{Path: path, Err: err}
	}
	return parse(path, data)
}

// Ridemark returns the objects of ridemark/objects.jsonc.
func Ridemark() (snapshot.Objects, error) { return embedded("ridemark/objects.jsonc") }

// Consortium returns the objects of consortium/objects.jsonc.
func Consortium() (snapshot.Objects, error) { return embedded("consortium/objects.jsonc") }

//go:embed ridemark/objects.jsonc consortium/objects.jsonc
var files embed.FS

func embedded(path string) (snapshot.Objects, error) {
	data, err := files.ReadFile(path)
	if err != nil {
		return snapshot.Objects{}, &ObjectsError{Path: path, Err: err}
	}
	return parse(path, data)
}

func parse(path string, data []byte) (snapshot.Objects, error) {
	var objects snapshot.Objects
	standard, err := hujson.Standardize(data)
	if err != nil {
		return objects, &ObjectsError{Path: path, Err: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&objects); err != nil {
		return objects, &ObjectsError{Path: path, Err: err}
	}
	return objects, nil
}

// WriteObjects writes an objects file as JSON. Errors are *ObjectsError.
func WriteObjects(path string, objects snapshot.Objects) error {
	data, err := json.MarshalIndent(objects, "", "  ")
	if err != nil {
		return &ObjectsError{Path: path, Err: err}
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return &ObjectsError{Path: path, Err: err}
	}
	return nil
}

// WithServerAddresses returns a copy of the objects in which every server has the
// address ("ip:port") of its stand-in. It returns an *AddressError for a server
// without one.
func WithServerAddresses(objects snapshot.Objects, addresses map[model.ServerID]string) (snapshot.Objects, error) {
	servers := make([]snapshot.Server, len(objects.Servers))
	for i, s := range objects.Servers {
		address, found := addresses[s.ID]
		if !found {
			return objects, &AddressError{Server: s.ID}
		}
		s.Address = address
		servers[i] = s
	}
	objects.Servers = servers
	return objects, nil
}

// InDataCentres returns a copy of the objects with only the servers of the
// given data centres.
func InDataCentres(objects snapshot.Objects, names ...model.DataCentre) snapshot.Objects {
	included := map[model.DataCentre]bool{}
	for _, name := range names {
		included[name] = true
	}
	var servers []snapshot.Server
	for _, s := range objects.Servers {
		if included[s.DataCentre] {
			servers = append(servers, s)
		}
	}
	objects.Servers = servers
	return objects
}
