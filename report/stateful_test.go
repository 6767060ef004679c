package report

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
)

// fault is what happens to a write.
type fault int

const (
	faultNone fault = iota
	faultLostRequest
	faultLostReply
	faultDelayed // takes effect after a later write was tried
	faults
)

// faultyStore is an object API whose next writes fail as told.
type faultyStore struct {
	objectapi.Store
	objects map[string]objectapi.Object
	faults  []fault
	delayed []func()
	// onPut runs once, before the next write.
	onPut func()
}

func (s *faultyStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (s *faultyStore) List(_ context.Context, prefix string) ([]string, error) {
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

func (s *faultyStore) Put(_ context.Context, key string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	if hook := s.onPut; hook != nil {
		s.onPut = nil
		hook()
	}
	next := faultNone
	if len(s.faults) > 0 {
		next, s.faults = s.faults[0], s.faults[1:]
	}
	late := s.delayed
	s.delayed = nil
	defer func() {
		for _, write := range late {
			write()
		}
	}()
	switch next {
	case faultLostRequest:
		return 0, objectapi.ErrUnavailable
	case faultDelayed:
		s.delayed = append(s.delayed, func() { _, _ = s.write(key, value, expected) })
		return 0, objectapi.ErrUnavailable
	}
	version, err := s.write(key, value, expected)
	if next == faultLostReply {
		return 0, objectapi.ErrUnavailable
	}
	return version, err
}

func (s *faultyStore) write(key string, value []byte, expected objectapi.Version) (objectapi.Version, error) {
	current := s.objects[key].Version
	if current != expected {
		return 0, &objectapi.ConflictError{Key: key, Expected: expected, Current: current}
	}
	s.objects[key] = objectapi.Object{Key: key, Version: current + 1, Value: value}
	return current + 1, nil
}

// modelHost is one incarnation and what is known of its counts: the report must
// show at least acked and at most counted.
type modelHost struct {
	host
	counted, acked map[Day]uint64
}

type machine struct {
	store *faultyStore
	now   time.Time
	hosts []*modelHost
	old   []*modelHost
}

func (m *machine) start(t *rapid.T) *modelHost {
	log := logrus.New()
	log.SetOutput(io.Discard)
	id := model.Incarnation(rapid.StringMatching(`[a-z0-9]{16}`).Draw(t, "incarnation"))
	rec := NewRecorder(RecorderOptions{Host: "h", Incarnation: id, Zone: lagos, Started: m.now})
	f := NewFlusher(FlusherOptions{Recorder: rec, Store: m.store, Log: log, WritesPerSecond: 1e9, Now: func() time.Time { return m.now }})
	return &modelHost{host{rec, f}, map[Day]uint64{}, map[Day]uint64{}}
}

func (m *machine) pick(t *rapid.T) *modelHost {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
}

func (m *machine) record(t *rapid.T) {
	h := m.pick(t)
	n := rapid.IntRange(1, 5).Draw(t, "n")
	for range n {
		h.Record(m.now, Sample{RowKey: RowKey{Service: "s", Workspace: model.WorkspaceID(rapid.StringMatching(`[a-c]`).Draw(t, "w"))}, Outcome: model.Answered})
	}
	h.counted[DayOf(m.now, lagos)] += uint64(n)
}

func (m *machine) flush(h *modelHost, stopping bool) {
	if h.Flush(ctx, stopping) == nil && h.DroppedDays() == 0 {
		for day, n := range h.counted {
			h.acked[day] = n
		}
	}
}

// replace ends a host, planned or killed, and starts its successor.
func (m *machine) replace(t *rapid.T) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	if rapid.Bool().Draw(t, "planned") {
		m.flush(m.hosts[i], true)
	}
	m.old = append(m.old, m.hosts[i])
	m.hosts[i] = m.start(t)
}

func (m *machine) check(t *rapid.T) {
	low, high := map[Day]uint64{}, map[Day]uint64{}
	for _, h := range append(slices.Clone(m.hosts), m.old...) {
		for day, n := range h.counted {
			low[day] += h.acked[day]
			high[day] += n
		}
	}
	reader := NewReader(ReaderOptions{Store: m.store, Zone: lagos, ReadsPerSecond: 1e9, Now: func() time.Time { return m.now }})
	for day := range high {
		daily, err := reader.Day(ctx, day)
		if err != nil {
			t.Fatal(err)
		}
		var got uint64
		for _, row := range daily.Rows {
			if uint64(row.Latency.TotalCount()) != row.Answered {
				t.Fatalf("%s: %d latencies for %d answers", day, row.Latency.TotalCount(), row.Answered)
			}
			got += row.Requests
		}
		if got < low[day] || got > high[day] {
			t.Fatalf("%s: report shows %d requests, expected %d to %d", day, got, low[day], high[day])
		}
	}
}

// Guards against any order of requests, flushes, lost requests, lost or late
// writes, replaced hosts and midnights that loses acknowledged counts or counts
// a request twice.
func TestReportsMatchTheOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{store: &faultyStore{objects: map[string]objectapi.Object{}}, now: noon}
		m.hosts = []*modelHost{m.start(t), m.start(t)}
		t.Repeat(map[string]func(*rapid.T){
			"record":  m.record,
			"flush":   func(t *rapid.T) { m.flush(m.pick(t), false) },
			"replace": m.replace,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "minutes")) * time.Minute)
			},
			"fail": func(t *rapid.T) {
				m.store.faults = append(m.store.faults, fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")))
			},
			"": m.check,
		})
	})
}
