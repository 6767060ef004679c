package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/model"
)

// Interval and timeout of polling a daemon's pools.
const (
	daemonPollInterval = 200 * time.Millisecond
	daemonTimeout      = 2 * time.Second
)

// EjectionReport lists the servers that daemons reported as ejected by the
// detector.
type EjectionReport struct {
	// FalsePositives lists ejected servers other than the one with the planned
	// fault.
	FalsePositives []model.ServerID `json:"false"`
	// FaultyServerEjected reports whether the server with the planned fault was
	// ejected.
	FaultyServerEjected bool `json:"correct"`
	// Daemons counts the polled daemons, Samples their answers and Failures the
	// polls without a valid answer.
	Daemons  int `json:"daemons"`
	Samples  int `json:"samples"`
	Failures int `json:"failures"`
}

// PoolsError reports that a daemon's pools could not be read.
type PoolsError struct {
	Daemon string
	Status int
	Err    error
}

// Error implements error.
func (e *PoolsError) Error() string {
	return fmt.Sprintf("pools of daemon %s: status %d: %v", e.Daemon, e.Status, e.Err)
}

// Unwrap returns the cause, if any.
func (e *PoolsError) Unwrap() error { return e.Err }

// ejectionWatch collects ejected servers by polling the daemons' pools. It may
// miss a server that is ejected for less than daemonPollInterval.
type ejectionWatch struct {
	daemons []string
	http    *http.Client

	mu       sync.Mutex
	ejected  map[model.ServerID]bool
	samples  int
	failures int
}

func newEjectionWatch(daemons []string) *ejectionWatch {
	return &ejectionWatch{daemons: daemons, http: &http.Client{Timeout: daemonTimeout}, ejected: map[model.ServerID]bool{}}
}

// start polls the daemons until the returned function is called. That function
// takes a last sample of each daemon and waits for it.
func (w *ejectionWatch) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var polling sync.WaitGroup
	for _, daemon := range w.daemons {
		polling.Go(func() {
			ticker := time.NewTicker(daemonPollInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					w.sample(ctx, daemon)
				case <-ctx.Done():
					w.sample(context.WithoutCancel(ctx), daemon)
					return
				}
			}
		})
	}
	return func() {
		cancel()
		polling.Wait()
	}
}

func (w *ejectionWatch) sample(ctx context.Context, daemon string) {
	pools, err := w.fetchPools(ctx, daemon)
	if err != nil && ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failures++
		return
	}
	w.samples++
	for _, p := range pools.Pools {
		for _, s := range p.Servers {
			if s.State == adminapi.ServerEjected {
				w.ejected[s.ID] = true
			}
		}
	}
}

func (w *ejectionWatch) fetchPools(ctx context.Context, daemon string) (adminapi.Pools, error) {
	var pools adminapi.Pools
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon+adminapi.PoolsPath, nil)
	if err != nil {
		return pools, &PoolsError{Daemon: daemon, Err: err}
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return pools, &PoolsError{Daemon: daemon, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return pools, &PoolsError{Daemon: daemon, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, adminapi.MaxResponseBytes)).Decode(&pools); err != nil {
		return pools, &PoolsError{Daemon: daemon, Status: resp.StatusCode, Err: err}
	}
	return pools, nil
}

func (w *ejectionWatch) report(faulty model.ServerID) *EjectionReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := &EjectionReport{FalsePositives: []model.ServerID{}, Daemons: len(w.daemons), Samples: w.samples, Failures: w.failures}
	for id := range w.ejected {
		if id == faulty {
			report.FaultyServerEjected = true
			continue
		}
		report.FalsePositives = append(report.FalsePositives, id)
	}
	slices.Sort(report.FalsePositives)
	return report
}
