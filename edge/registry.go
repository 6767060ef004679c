package edge

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/gossip"
)

// maxRegistryAge is the age up to which a list of the registry shows that an entry is
// missing. Relays read it at hostPollInterval, and one read may fail.
const maxRegistryAge = 2*hostPollInterval + staleReadAge

// entryState is what a list says about this daemon's entry in the registry.
type entryState uint8

const (
	entryUnknown entryState = iota
	entryPresent
	entryMissing
)

// registryList is the registry as this or another daemon last read it. It is immutable.
type registryList struct {
	hosts  map[model.HostID]gossip.Host
	era    catalog.Era
	readAt time.Time
}

func newRegistryList(hosts []gossip.Host, era catalog.Era, readAt time.Time) *registryList {
	l := &registryList{hosts: make(map[model.HostID]gossip.Host, len(hosts)), era: era, readAt: readAt}
	for _, h := range hosts {
		l.hosts[h.ID] = h
	}
	return l
}

// listedHost is a host in the response of hostsPath.
type listedHost struct {
	gossip.Host
	// Registered is set if this is the host's entry in the registry. Otherwise the sender
	// has only heard of the host.
	Registered bool `json:"registered,omitempty"`
	// Registry describes the sender's list of the registry. It is with the first host.
	Registry *registryInfo `json:"registry,omitempty"`
}

type registryInfo struct {
	Era   catalog.Era `json:"era"`
	AgeMs int64       `json:"ageMs"`
}

// sentHosts is a list of hosts that another daemon sent, received at a time.
type sentHosts struct {
	list       []listedHost
	receivedAt time.Time
}

// registry returns the list of the registry among the hosts; nil if there is none, as in
// the response of a daemon of an older version.
func (s sentHosts) registry() *registryList {
	if len(s.list) == 0 || s.list[0].Registry == nil {
		return nil
	}
	info := s.list[0].Registry
	var registered []gossip.Host
	for _, h := range s.list {
		if h.Registered {
			registered = append(registered, h.Host)
		}
	}
	return newRegistryList(registered, info.Era, s.receivedAt.Add(-time.Duration(max(0, info.AgeMs))*time.Millisecond))
}

// listHosts returns the hosts that this daemon knows, itself first, and which of them are in
// the registry.
func (n *Node) listHosts(now time.Time) []listedHost {
	known, registry := n.gossiper.Hosts(), n.registry.Load()
	out := make([]listedHost, 0, len(known))
	for _, h := range known {
		l := listedHost{Host: h}
		if registry != nil {
			entry, ok := registry.hosts[h.ID]
			l.Registered = ok && entry == h
			if ok && entry != h {
				// Both: the entry may be older than what was heard, or newer.
				out = append(out, l)
				l = listedHost{Host: entry, Registered: true}
			}
		}
		out = append(out, l)
	}
	if registry != nil {
		out[0].Registry = &registryInfo{Era: registry.era, AgeMs: now.Sub(registry.readAt).Milliseconds()}
	}
	return out
}

func (n *Node) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts := n.listHosts(time.Now())
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		n.writeJSON(w, hosts)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	if err := json.NewEncoder(z).Encode(hosts); err == nil {
		_ = z.Close()
	}
}
