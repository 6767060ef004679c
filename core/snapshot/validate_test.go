package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

func validObjects() Objects {
	return Objects{
		Services: []Service{{Name: "booking", Floor: Floor{Share: 0.5, MinServers: 1}, Policy: PolicyRidemark, DeadlineMs: 2000, RetryBudgetShare: 0.1, QueueLimit: 100, CancelPath: "/requests/{id}", ShedHeader: "X-Request-Not-Run: true"}},
		Servers:  []Server{{ID: "b1", Service: "booking", DataCentre: "lagos-1", Address: "10.0.0.1:80", Slots: 2, Connections: 330}},
		Routes: []Route{
			{Name: "pay", PathPrefix: "/pay", Methods: []string{"POST"}, Service: "booking"},
			{Name: "space", Host: "api.example", PathPrefix: "/space", Service: "booking", Repeatable: true, IssueKeysFor: "pay", RatePerSecond: 10},
		},
		Workspaces:    []Workspace{{ID: "gate"}},
		ReportLayouts: []ReportLayout{{Name: "daily", Columns: []ReportColumn{{Heading: "Requests ๑", Field: "requests", Format: "#,##0.00"}}, Separator: ";", Decimal: ","}},
	}.Normalized()
}

// splitRoute splits the route "space" over as many services as there are weights.
func splitRoute(o *Objects, weights ...float64) {
	r := &o.Routes[1]
	r.Service, r.IssueKeysFor = "", ""
	for i, w := range weights {
		name := model.ServiceName("booking")
		if i > 0 {
			name = model.ServiceName(fmt.Sprint("booking-", i))
			next := o.Services[0]
			next.Name = name
			o.Services = append(o.Services, next)
		}
		r.Split = append(r.Split, RoutePart{Service: name, Weight: w})
	}
}

// Guards against a valid split that is refused.
func TestValidSplit(t *testing.T) {
	g := NewWithT(t)
	for _, weights := range [][]float64{{60, 40}, {33.3, 33.3, 33.4}, {99.9, 0.1}} {
		o := validObjects()
		splitRoute(&o, weights...)
		g.Expect(o.Validate()).To(Succeed(), "%v", weights)
	}
}

// Guards against an invalid field that validation accepts or reports under the
// wrong name.
func TestValidateReportsInvalidFields(t *testing.T) {
	for _, tc := range []struct {
		field      string
		invalidate func(o *Objects)
	}{
		{"name", func(o *Objects) { o.Services[0].Name = "" }},
		{"name", func(o *Objects) { o.Servers[0].ID = "a b" }},
		{"name", func(o *Objects) { o.Workspaces = append(o.Workspaces, o.Workspaces[0]) }},
		{"floor.share", func(o *Objects) { o.Services[0].Floor.Share = math.NaN() }},
		{"floor.share", func(o *Objects) { o.Services[0].Floor.Share = 1.1 }},
		{"floor.minServers", func(o *Objects) { o.Services[0].Floor.MinServers = -1 }},
		{"policy", func(o *Objects) { o.Services[0].Policy = "fast" }},
		{"deadlineMs", func(o *Objects) { o.Services[0].DeadlineMs = 0 }},
		{"retryBudgetShare", func(o *Objects) { o.Services[0].RetryBudgetShare = -0.1 }},
		{"queueLimit", func(o *Objects) { o.Services[0].QueueLimit = 0 }},
		{"shards", func(o *Objects) { o.Services[0].Shards = -1 }},
		{"cancelPath", func(o *Objects) { o.Services[0].CancelPath = "http://x/" }},
		{"shedHeader", func(o *Objects) { o.Services[0].ShedHeader = "X: a\r\nY: b" }},
		{"service", func(o *Objects) { o.Servers[0].Service = "other" }},
		{"dataCentre", func(o *Objects) { o.Servers[0].DataCentre = "" }},
		{"address", func(o *Objects) { o.Servers[0].Address = "host:80" }},
		{"address", func(o *Objects) { o.Servers[0].Address = "0.0.0.0:80" }},
		{"address", func(o *Objects) {
			o.Servers = append(o.Servers, o.Servers[0])
			o.Servers[1].ID = "b2"
		}},
		{"slots", func(o *Objects) { o.Servers[0].Slots = 0 }},
		{"connections", func(o *Objects) { o.Servers[0].Connections = 1 }},
		{"state", func(o *Objects) { o.Servers[0].State = "gone" }},
		{"host", func(o *Objects) { o.Routes[1].Host = "API.example" }},
		{"pathPrefix", func(o *Objects) { o.Routes[0].PathPrefix = "pay" }},
		{"pathPrefix", func(o *Objects) { o.Routes[0].PathPrefix = "/a/../b" }},
		{"pathPrefix", func(o *Objects) {
			o.Routes[0] = Route{Name: "pay", Host: "api.example", PathPrefix: "/space/", Service: "booking"}
		}},
		{"methods", func(o *Objects) { o.Routes[0].Methods = []string{"post"} }},
		{"methods", func(o *Objects) { o.Routes[0].Methods = []string{"POST", "POST"} }},
		{"service", func(o *Objects) { o.Routes[0].Service = "other" }},
		{"split", func(o *Objects) { splitRoute(o, 60, 30) }},
		{"split", func(o *Objects) { splitRoute(o, 60, 50) }},
		{"split", func(o *Objects) { splitRoute(o, 100) }},
		{"split.weight", func(o *Objects) { splitRoute(o, 0, 100) }},
		{"split.weight", func(o *Objects) { splitRoute(o, math.NaN(), 100) }},
		{"split.weight", func(o *Objects) { splitRoute(o, -20, 120) }},
		{"split.service", func(o *Objects) { splitRoute(o, 60, 40); o.Routes[1].Split[1].Service = "booking" }},
		{"service", func(o *Objects) { splitRoute(o, 60, 40); o.Routes[1].Split[1].Service = "other" }},
		{"service", func(o *Objects) { splitRoute(o, 60, 40); o.Routes[1].Service = "booking" }},
		{"repeatable", func(o *Objects) { splitRoute(o, 60, 40); o.Routes[1].Repeatable = false }},
		{"issueKeysFor", func(o *Objects) { splitRoute(o, 60, 40); o.Routes[1].IssueKeysFor = "pay" }},
		{"ratePerSecond", func(o *Objects) { o.Routes[0].RatePerSecond = math.Inf(1) }},
		{"issueKeysFor", func(o *Objects) { o.Routes[1].IssueKeysFor = "none" }},
		{"issueKeysFor", func(o *Objects) { o.Routes[1].IssueKeysFor = "space" }},
		{"repeatable", func(o *Objects) { o.Routes[1].Repeatable = false }},
		{"weight", func(o *Objects) { o.Workspaces[0].Weight = -1 }},
		{"ratePerSecond", func(o *Objects) { o.Workspaces[0].RatePerSecond = math.NaN() }},
		{"columns", func(o *Objects) { o.ReportLayouts[0].Columns = nil }},
		{"columns.0.heading", func(o *Objects) { o.ReportLayouts[0].Columns[0].Heading = "a\xff" }},
		{"columns.0.field", func(o *Objects) { o.ReportLayouts[0].Columns[0].Field = "" }},
		{"columns.0.format", func(o *Objects) { o.ReportLayouts[0].Columns[0].Format = "%d" }},
		{"separator", func(o *Objects) { o.ReportLayouts[0].Separator = "\n" }},
		{"decimal", func(o *Objects) { o.ReportLayouts[0].Separator = "," }},
	} {
		t.Run(tc.field, func(t *testing.T) {
			g := NewWithT(t)
			o := validObjects()
			g.Expect((&Snapshot{Objects: o}).Validate()).To(Succeed())
			tc.invalidate(&o)
			err := (&Snapshot{Objects: o}).Validate()
			var invalid *ValidationError
			g.Expect(errors.As(err, &invalid)).To(BeTrue())
			g.Expect(invalid.Violations).To(ContainElement(HaveField("Field", tc.field)))
		})
	}
}

// Guards against an error that lists only the first violation, and against a change
// that is partly applied.
func TestApplyReportsAllViolations(t *testing.T) {
	g := NewWithT(t)
	base, err := (*Snapshot)(nil).Apply(Change{ID: "c1", Author: "a", Put: validObjects()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(base.Epoch).To(BeEquivalentTo(1))
	before, _ := json.Marshal(base)
	_, err = base.Apply(Change{
		Put:    Objects{Servers: []Server{{ID: "b2", Service: "none", DataCentre: "d", Address: "10.0.0.2:80", Slots: 2, Connections: 2}}},
		Delete: []Ref{{KindServer, "b2"}, {KindService, "booking"}, {"Thing", "x"}, {KindRoute, "none"}},
	})
	g.Expect(err).To(HaveOccurred())
	for _, want := range []string{
		`change: id: got ""`, `change: author: got ""`, `Server b2: delete: got "b2", expected an object that the change does not put`,
		"Thing x: kind", "Route none: delete",
	} {
		g.Expect(err.Error()).To(ContainSubstring(want))
	}
	_, err = base.Apply(Change{ID: "c2", Author: "a", Delete: []Ref{{KindService, "booking"}}})
	g.Expect(strings.Count(err.Error(), "expected an existing service")).To(Equal(3))
	after, _ := json.Marshal(base)
	g.Expect(after).To(Equal(before))
}

// FuzzObjects guards against input that causes a panic, and against valid objects
// that change when they are normalised again or encoded in chunks and decoded.
// Hosts that apply a change would then have other objects than hosts that read the
// chunks.
func FuzzObjects(f *testing.F) {
	seed, _ := json.Marshal(validObjects())
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var o Objects
		if json.Unmarshal(data, &o) != nil {
			return
		}
		o = o.Normalized()
		if (&Snapshot{Objects: o}).Validate() != nil {
			return
		}
		if again := o.Normalized(); !reflect.DeepEqual(again, o) {
			t.Fatalf("normalised twice: %+v, once: %+v", again, o)
		}
		m, c, err := Split(o, nil)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := Join(m, c)
		if err != nil || !reflect.DeepEqual(joined, o) {
			t.Fatalf("joined %+v, split %+v, error %v", joined, o, err)
		}
	})
}
