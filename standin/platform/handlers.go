package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/objectapi"
)

// staleWatchPoll is the interval at which a watch polls the objects while reads
// lag.
const staleWatchPoll = 10 * time.Millisecond

// beginCall counts the call and applies the rate limit and the faults. It returns
// false if the call has been answered.
func (e *Endpoint) beginCall(w http.ResponseWriter, r *http.Request, k callKind, l *rate.Limiter) bool {
	e.platform.calls.add(k)
	if !l.Allow() {
		e.platform.calls.add(callLimited)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return e.applyFaults(w, r)
}

func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, objectapi.ObjectsPath+"/")
}

func (e *Endpoint) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(objectapi.WatchParam) == "true" {
		e.watch(w, r)
		return
	}
	if !e.beginCall(w, r, callGet, e.platform.reads) {
		return
	}
	version, value := e.readLagged(keyOf(r))
	e.reply(w, version, value)
}

// readLagged reads an object as it was before this endpoint's read lag.
func (e *Endpoint) readLagged(key string) (objectapi.Version, []byte) {
	return e.platform.objects.read(key, time.Now().Add(-e.Faults().readLag()))
}

func (e *Endpoint) reply(w http.ResponseWriter, version objectapi.Version, value []byte) {
	if version == 0 {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", objectapi.FormatETag(version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(value)))
	e.platform.calls.sent(len(value))
	_, _ = w.Write(value)
}

func (e *Endpoint) watch(w http.ResponseWriter, r *http.Request) {
	if !e.beginCall(w, r, callWatch, e.platform.reads) {
		return
	}
	after, ok := objectapi.ParseETag(r.Header.Get("If-None-Match"))
	if !ok && r.Header.Get("If-None-Match") != "" {
		http.Error(w, "malformed If-None-Match", http.StatusBadRequest)
		return
	}
	e.platform.calls.waiting(1)
	defer e.platform.calls.waiting(-1)
	limit := time.NewTimer(e.platform.options.WatchLimit)
	defer limit.Stop()
	e.awaitChange(w, r, after, limit.C)
}

// awaitChange answers a watch when the visible version exceeds after, or when limit
// fires.
func (e *Endpoint) awaitChange(w http.ResponseWriter, r *http.Request, after objectapi.Version, limit <-chan time.Time) {
	key := keyOf(r)
	for {
		written := e.platform.objects.nextWrite(key)
		faults, faultsChanged := e.faults.get()
		if faults.Outage != OutageNone && !e.applyFaults(w, r) {
			return
		}
		version, value := e.readLagged(key)
		if version > after {
			e.reply(w, version, value)
			return
		}
		poll, stop := pollTimer(faults)
		select {
		case <-written:
		case <-faultsChanged:
		case <-poll:
		case <-r.Context().Done():
			stop()
			panic(http.ErrAbortHandler)
		case <-limit:
			stop()
			e.replyUnchanged(w, version)
			return
		}
		stop()
	}
}

func (e *Endpoint) replyUnchanged(w http.ResponseWriter, version objectapi.Version) {
	if version == 0 {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

// pollTimer returns a channel that fires after staleWatchPoll if reads lag, and a
// function that stops the timer. The channel is nil if reads do not lag.
func pollTimer(f Faults) (<-chan time.Time, func()) {
	if f.ReadLagMs <= 0 {
		return nil, func() {}
	}
	t := time.NewTimer(staleWatchPoll)
	return t.C, func() { t.Stop() }
}

func (e *Endpoint) put(w http.ResponseWriter, r *http.Request) {
	// The body is read first, because the HTTP server detects a client's
	// disconnect only after the body has been consumed.
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes))
	if !e.beginCall(w, r, callPut, e.platform.writes) {
		return
	}
	if err != nil {
		http.Error(w, "value too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	expected, ok := putCondition(r.Header)
	if !ok {
		http.Error(w, "need If-Match or If-None-Match: *", http.StatusPreconditionRequired)
		return
	}
	if err := objectapi.CheckKey(keyOf(r)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.platform.calls.received(len(value))
	e.write(w, r, value, expected)
}

// write executes a conditional update, or a conditional deletion if value is nil.
func (e *Endpoint) write(w http.ResponseWriter, r *http.Request, value []byte, expected objectapi.Version) {
	e.loseRequest()
	current, ok := e.platform.objects.write(keyOf(r), value, expected, time.Now())
	if !ok {
		if current != 0 {
			w.Header().Set("ETag", objectapi.FormatETag(current))
		}
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	e.loseReply()
	if value == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("ETag", objectapi.FormatETag(current))
}

func putCondition(h http.Header) (objectapi.Version, bool) {
	if h.Get("If-None-Match") == "*" {
		return 0, h.Get("If-Match") == ""
	}
	v, ok := objectapi.ParseETag(h.Get("If-Match"))
	return v, ok && v > 0
}

func (e *Endpoint) remove(w http.ResponseWriter, r *http.Request) {
	if !e.beginCall(w, r, callDelete, e.platform.writes) {
		return
	}
	expected, ok := objectapi.ParseETag(r.Header.Get("If-Match"))
	if !ok || expected == 0 {
		http.Error(w, "need If-Match", http.StatusPreconditionRequired)
		return
	}
	if version, _ := e.platform.objects.read(keyOf(r), time.Now()); version == 0 {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	e.write(w, r, nil, expected)
}

func (e *Endpoint) list(w http.ResponseWriter, r *http.Request) {
	if !e.beginCall(w, r, callList, e.platform.reads) {
		return
	}
	at := time.Now().Add(-e.Faults().readLag())
	keys := e.platform.objects.list(r.URL.Query().Get(objectapi.PrefixParam), at)
	e.platform.calls.sent(writeJSON(w, objectapi.KeyList{Keys: keys}))
}

func (e *Endpoint) hostList(w http.ResponseWriter, r *http.Request) {
	if !e.beginCall(w, r, callHosts, e.platform.reads) {
		return
	}
	hosts := e.platform.hosts.read(time.Now())
	e.platform.calls.sent(writeJSON(w, objectapi.HostList{Hosts: hosts}))
}

func writeJSON(w http.ResponseWriter, v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return 0
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(data)
	return n
}
