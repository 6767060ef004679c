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

// staleWatchPoll is how often a watch of a lagging reader looks again.
const staleWatchPoll = 10 * time.Millisecond

// begin counts the call, applies the rate limit and the faults. False means
// that the call has been answered.
func (e *Endpoint) begin(w http.ResponseWriter, r *http.Request, k callKind, l *rate.Limiter) bool {
	e.platform.calls.add(k)
	if !l.Allow() {
		e.platform.calls.add(callLimited)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return e.admit(w, r)
}

func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, objectapi.ObjectsPath+"/")
}

func (e *Endpoint) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(objectapi.WatchParam) == "true" {
		e.watch(w, r)
		return
	}
	if !e.begin(w, r, callGet, e.platform.reads) {
		return
	}
	version, value := e.lagged(keyOf(r))
	e.reply(w, version, value)
}

// lagged reads an object as this endpoint's readers see it.
func (e *Endpoint) lagged(key string) (objectapi.Version, []byte) {
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
	if !e.begin(w, r, callWatch, e.platform.reads) {
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
	e.await(w, r, after, limit.C)
}

// await answers a watch once the visible version exceeds after or limit fires.
func (e *Endpoint) await(w http.ResponseWriter, r *http.Request, after objectapi.Version, limit <-chan time.Time) {
	key := keyOf(r)
	for {
		written := e.platform.objects.notify(key)
		faults, switched := e.faults.get()
		if faults.Outage != OutageNone && !e.admit(w, r) {
			return
		}
		version, value := e.lagged(key)
		if version > after {
			e.reply(w, version, value)
			return
		}
		poll, stop := pollTimer(faults)
		select {
		case <-written:
		case <-switched:
		case <-poll:
		case <-r.Context().Done():
			stop()
			panic(http.ErrAbortHandler)
		case <-limit:
			stop()
			e.unchanged(w, version)
			return
		}
		stop()
	}
}

func (e *Endpoint) unchanged(w http.ResponseWriter, version objectapi.Version) {
	if version == 0 {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

// pollTimer fires while reads lag; otherwise it never does.
func pollTimer(f Faults) (<-chan time.Time, func()) {
	if f.ReadLagMs <= 0 {
		return nil, func() {}
	}
	t := time.NewTimer(staleWatchPoll)
	return t.C, func() { t.Stop() }
}

func (e *Endpoint) put(w http.ResponseWriter, r *http.Request) {
	// The body is read first: the server notices that a client went away only
	// once the body has been consumed.
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxValueBytes))
	if !e.begin(w, r, callPut, e.platform.writes) {
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

// write runs a conditional update, or a deletion if value is nil.
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
	if !e.begin(w, r, callDelete, e.platform.writes) {
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
	if !e.begin(w, r, callList, e.platform.reads) {
		return
	}
	at := time.Now().Add(-e.Faults().readLag())
	keys := e.platform.objects.list(r.URL.Query().Get(objectapi.PrefixParam), at)
	e.platform.calls.sent(writeJSON(w, objectapi.KeyList{Keys: keys}))
}

func (e *Endpoint) hostList(w http.ResponseWriter, r *http.Request) {
	if !e.begin(w, r, callHosts, e.platform.reads) {
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
