package platform

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/objectapi"
)

// maxAdminBytes is the largest accepted body of an admin request.
const maxAdminBytes = 16 << 20

func (p *Platform) newAdmin() http.Handler {
	r := chi.NewRouter()
	r.Get("/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) })
	r.Get("/hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, objectapi.HostList{Hosts: p.hosts.latest()})
	})
	r.Put("/hosts", func(w http.ResponseWriter, r *http.Request) {
		var list objectapi.HostList
		if readJSON(w, r, &list) {
			p.SetHosts(list.Hosts)
		}
	})
	r.Get("/faults", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, p.endpointOf(r).Faults()) })
	r.Put("/faults", p.putFaults)
	return r
}

func (p *Platform) endpointOf(r *http.Request) *Endpoint {
	return p.EndpointNamed(r.URL.Query().Get("endpoint"))
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageHang:
		p.endpointOf(r).SetFaults(f)
	default:
		http.Error(w, "unknown outage", http.StatusBadRequest)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
