package examples

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// Guards against examples that do not have the sizes stated in docs/design.md, and
// against examples that are rejected as a change to an empty configuration.
func TestExampleFiles(t *testing.T) {
	tests := []struct {
		file        string
		embedded    func() (snapshot.Objects, error)
		sizes       map[model.ServiceName]int
		dataCentres int
		connections int
		policy      snapshot.Policy
	}{
		{"ridemark", Ridemark, map[model.ServiceName]int{"booking": 15, "ledger": 10}, 4, 330, snapshot.PolicyRidemark},
		{"consortium", Consortium, map[model.ServiceName]int{"wayleave-registry": 20, "route-atlas": 15}, 4, 400, snapshot.PolicyConsortium},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			g := NewWithT(t)
			o, err := ReadObjects(filepath.Join(tt.file, "objects.jsonc"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(tt.embedded()).To(Equal(o))
			sizes, ids, dataCentres := map[model.ServiceName]int{}, map[model.ServerID]bool{}, map[model.DataCentre]bool{}
			addresses := map[string]bool{}
			for _, s := range o.Servers {
				sizes[s.Service]++
				ids[s.ID], dataCentres[s.DataCentre], addresses[s.Address] = true, true, true
				g.Expect(s.Slots).To(Equal(2))
				g.Expect(s.Connections).To(Equal(tt.connections))
			}
			g.Expect(sizes).To(Equal(tt.sizes))
			g.Expect(ids).To(HaveLen(len(o.Servers)))
			g.Expect(addresses).To(HaveLen(len(o.Servers)))
			g.Expect(dataCentres).To(HaveLen(tt.dataCentres))
			_, err = (*snapshot.Snapshot)(nil).Apply(snapshot.Change{ID: "example", Author: "test", Put: o})
			g.Expect(err).NotTo(HaveOccurred())
			nonRepeatable := 0
			for _, r := range o.Routes {
				if !r.Repeatable {
					nonRepeatable++
				}
			}
			g.Expect(nonRepeatable).To(BeNumerically(">=", 2))
			for _, s := range o.Services {
				g.Expect(s.Policy).To(Equal(tt.policy))
				g.Expect(s.Floor.Share).To(BeNumerically(">", 0))
			}
			g.Expect(len(o.Workspaces)).To(BeNumerically(">=", 3))
			g.Expect(o.ReportLayouts).To(HaveLen(1))
		})
	}
}

// Guards against servers that keep their placeholder address, and against
// modifying the objects that were passed in.
func TestWithServerAddresses(t *testing.T) {
	g := NewWithT(t)
	o := snapshot.Objects{Servers: []snapshot.Server{{ID: "a", DataCentre: "d1", Address: "old"}, {ID: "b", DataCentre: "d2", Address: "old"}}}
	_, err := WithServerAddresses(o, map[model.ServerID]string{"a": "x"})
	g.Expect(err).To(Equal(&AddressError{Server: "b"}))
	part := InDataCentres(o, "d1")
	got, err := WithServerAddresses(part, map[model.ServerID]string{"a": "x"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Servers).To(Equal([]snapshot.Server{{ID: "a", DataCentre: "d1", Address: "x"}}))
	g.Expect(o.Servers[0].Address).To(Equal("old"))
	path := filepath.Join(t.TempDir(), "o.json")
	g.Expect(WriteObjects(path, got)).To(Succeed())
	g.Expect(ReadObjects(path)).To(Equal(got))
}

// Guards against ignoring a misspelt field.
func TestReadObjectsRejectsUnknownFields(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "o.jsonc")
	g.Expect(os.WriteFile(path, []byte(`{"servrs": []}`), 0o600)).To(Succeed())
	_, err := ReadObjects(path)
	var objectsErr *ObjectsError
	g.Expect(err).To(BeAssignableToTypeOf(objectsErr))
}
