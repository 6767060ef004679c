package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/agateusher/agateusher/objectapi"
)

// record is one version of an object. A deletion is a record without a value.
type record struct {
	version   objectapi.Version
	value     []byte
	writtenAt time.Time
	deleted   bool
}

// objectTable holds the objects, with the older versions that lagging readers may
// still see. All versions come from one counter, so an object that is deleted and
// created again has a higher version than before.
type objectTable struct {
	mu          sync.Mutex
	lastVersion objectapi.Version
	records     map[string][]record // oldest first
	changed     map[string]chan struct{}
}

func newObjectTable() *objectTable {
	return &objectTable{records: map[string][]record{}, changed: map[string]chan struct{}{}}
}

// read returns the object as it was at a time. Version 0 means that it did not
// exist.
func (t *objectTable) read(key string, at time.Time) (objectapi.Version, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := visible(t.records[key], at)
	return r.version, r.value
}

// visible returns the newest record that was written at or before at. It returns an
// empty record if the object did not exist then.
func visible(records []record, at time.Time) record {
	for _, r := range slices.Backward(records) {
		if !r.writtenAt.After(at) {
			if r.deleted {
				return record{}
			}
			return r
		}
	}
	return record{}
}

// list returns the keys with the prefix that existed at a time, in order.
func (t *objectTable) list(prefix string, at time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := []string{}
	for key, records := range t.records {
		if strings.HasPrefix(key, prefix) && visible(records, at).version != 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// write stores value, or deletes the object if value is nil, if the current version
// equals expected. It returns the version after the call, which for a deletion is
// that of its record, and whether the write was done.
func (t *objectTable) write(key string, value []byte, expected objectapi.Version, now time.Time) (objectapi.Version, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := visible(t.records[key], now).version
	if current != expected {
		return current, false
	}
	t.lastVersion++
	next := record{version: t.lastVersion, value: value, writtenAt: now, deleted: value == nil}
	t.records[key] = append(pruned(t.records[key], now), next)
	if c, ok := t.changed[key]; ok {
		close(c)
		delete(t.changed, key)
	}
	return t.lastVersion, true
}

// pruned drops the records that were superseded more than MaxReadLag ago.
func pruned(records []record, now time.Time) []record {
	keep := 0
	for keep+1 < len(records) && now.Sub(records[keep+1].writtenAt) > MaxReadLag {
		keep++
	}
	return records[keep:]
}

// nextWrite returns a channel that is closed at the next write to key.
func (t *objectTable) nextWrite(key string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.changed[key]
	if !ok {
		c = make(chan struct{})
		t.changed[key] = c
	}
	return c
}

// hostTable holds the latest host list and the older ones that are still visible
// because of the lag.
type hostTable struct {
	lag time.Duration

	mu    sync.Mutex
	lists []hostList // oldest first
}

type hostList struct {
	setAt time.Time
	hosts []objectapi.Host
}

func (t *hostTable) set(now time.Time, hosts []objectapi.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists = append(t.lists, hostList{setAt: now, hosts: slices.Clone(hosts)})
	for len(t.lists) > 1 && now.Sub(t.lists[1].setAt) >= t.lag {
		t.lists = t.lists[1:]
	}
}

// read returns the list as it was before the lag. The first list is visible at
// once.
func (t *hostTable) read(now time.Time) []objectapi.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range slices.Backward(t.lists) {
		if now.Sub(l.setAt) >= t.lag {
			return l.hosts
		}
	}
	if len(t.lists) == 0 {
		return []objectapi.Host{}
	}
	return t.lists[0].hosts
}

// latest returns the newest list, regardless of the lag.
func (t *hostTable) latest() []objectapi.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lists) == 0 {
		return []objectapi.Host{}
	}
	return t.lists[len(t.lists)-1].hosts
}
