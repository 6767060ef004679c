package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
)

// adminTimeout limits one call to the stand-ins' admin API.
const adminTimeout = 20 * time.Second

// adminConcurrency limits concurrent calls to the stand-ins' admin API.
const adminConcurrency = 8

// StandinError reports a failed call to the stand-ins' admin API.
type StandinError struct {
	URL    string
	Status int
	Err    error
}

// Error implements error.
func (e *StandinError) Error() string {
	return fmt.Sprintf("stand-in admin API %s: status %d: %v", e.URL, e.Status, e.Err)
}

// Unwrap returns the cause, if any.
func (e *StandinError) Unwrap() error { return e.Err }

// Standins is a client of the admin API of stand-in backend servers.
// Errors of its methods are *StandinError.
type Standins struct {
	address string
	http    *http.Client
}

// NewStandins returns a client for the admin API at address, "ip:port".
func NewStandins(address string) *Standins {
	return &Standins{address: address, http: &http.Client{Timeout: adminTimeout}}
}

// Servers lists the servers.
func (s *Standins) Servers(ctx context.Context) ([]backend.Listing, error) {
	var list []backend.Listing
	err := s.call(ctx, http.MethodGet, "/servers", nil, &list)
	return list, err
}

// SetFaults replaces the faults of one server and returns when they began.
func (s *Standins) SetFaults(ctx context.Context, id model.ServerID, f backend.Faults) (time.Time, error) {
	var report backend.FaultsReport
	err := s.call(ctx, http.MethodPut, "/servers/"+string(id)+"/faults", f, &report)
	return report.Since, err
}

// Log returns the execution log of one server since t.
func (s *Standins) Log(ctx context.Context, id model.ServerID, t time.Time) (backend.LogReport, error) {
	var report backend.LogReport
	err := s.call(ctx, http.MethodGet, fmt.Sprintf("/servers/%s/log?sinceUs=%d", id, t.UnixMicro()), nil, &report)
	return report, err
}

// Logs returns the execution logs of the servers since t, by server.
func (s *Standins) Logs(ctx context.Context, servers []backend.Listing, t time.Time) (map[model.ServerID]backend.LogReport, error) {
	reports := make([]backend.LogReport, len(servers))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(adminConcurrency)
	for i, l := range servers {
		group.Go(func() (err error) {
			reports[i], err = s.Log(ctx, l.ID, t)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	logs := make(map[model.ServerID]backend.LogReport, len(servers))
	for i, l := range servers {
		logs[l.ID] = reports[i]
	}
	return logs, nil
}

func (s *Standins) call(ctx context.Context, method, path string, body, into any) error {
	url := "http://" + s.address + path
	encoded, err := json.Marshal(body)
	if err != nil {
		return &StandinError{URL: url, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return &StandinError{URL: url, Err: err}
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return &StandinError{URL: url, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StandinError{URL: url, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return &StandinError{URL: url, Status: resp.StatusCode, Err: err}
	}
	return nil
}
