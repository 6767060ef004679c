// Command stand plays one case of the review: it starts a stand-in of the platform's
// store, an endpoint and one usher-edge process, and sends requests.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// record writes what was sent, answered and run to the standard output, which run.sh
// directs to record.txt.
type record struct {
	began time.Time

	mu sync.Mutex
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is what a case works with.
type world struct {
	*record
	store    *store
	endpoint *endpoint
	// archive is the endpoint of a second service.
	archive *endpoint
	edge    *edge
	trouble bool
}

// cases return what broke the rule; nothing if it held.
var cases = map[string]func(*world) ([]string, error){
	"continue": playContinue,
	"cut":      playCut,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, root string) int {
	w := &world{record: &record{began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		w.add("cannot run: %v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	broken, err := w.play(cases[name], root, dir)
	if err != nil {
		w.add("cannot run: %v", err)
		return exitNotRun
	}
	for _, b := range broken {
		w.add("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.add("the rule held")
	return exitHeld
}

func (w *world) play(run func(*world) ([]string, error), root, dir string) (broken []string, err error) {
	if run == nil {
		return nil, fmt.Errorf("no such case")
	}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	if w.endpoint, err = newEndpoint("i-7f3a91c2", w.record); err != nil {
		return nil, err
	}
	if w.archive, err = newEndpoint("i-02d9e6b4", w.record); err != nil {
		return nil, err
	}
	w.store.put("config", "main", string(platform.Config), "")
	w.store.put("servers", w.endpoint.id, w.endpoint.entry("huvo11a", "lekki", time.Now().UnixMilli()), string(platform.Status))
	w.store.put("servers", w.archive.id, w.archive.entry("wuno96b", "lekki", time.Now().UnixMilli()), string(platform.Status))
	w.edge, err = startEdge(root, dir, w.store)
	if w.edge != nil && w.edge.cmd != nil && w.edge.cmd.Process != nil {
		defer w.edge.stop(6 * time.Second)
	}
	if err != nil {
		return nil, err
	}
	w.add("the daemon is ready")
	return run(w)
}
