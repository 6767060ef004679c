package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/internal/stricthttp"
)

const (
	// adminConcurrency limits the concurrent requests to hosts.
	adminConcurrency = 64
	// DefaultAdminTimeout is the timeout of the request to one host.
	DefaultAdminTimeout = 2 * time.Second
)

var (
	// ErrNoAdminAddress means that the host list has no admin address for the
	// host.
	ErrNoAdminAddress = errors.New("no admin address in the host list")
	// ErrAdminResponse means that the endpoint sent an invalid response or that
	// of another host.
	ErrAdminResponse = errors.New("invalid response from the admin endpoint")
)

// AdminFleet is a Fleet that queries the daemons' admin endpoints. Use
// NewAdminFleet to create one.
type AdminFleet struct {
	hosts   HostLister
	client  *http.Client
	timeout time.Duration
}

// NewAdminFleet returns a Fleet that reads the host list on each call and queries
// every host. The timeout applies to each host; zero means DefaultAdminTimeout.
func NewAdminFleet(hosts HostLister, timeout time.Duration) *AdminFleet {
	if timeout == 0 {
		timeout = DefaultAdminTimeout
	}
	transport := stricthttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute})
	return &AdminFleet{hosts: hosts, client: &http.Client{Transport: transport}, timeout: timeout}
}

// Close closes idle connections.
func (f *AdminFleet) Close() { f.client.CloseIdleConnections() }

// Status implements Fleet.
func (f *AdminFleet) Status(ctx context.Context) ([]HostStatus, error) {
	return queryHosts(ctx, f, func(ctx context.Context, h Host) HostStatus {
		status, err := getJSON[adminapi.Status](ctx, f, h, adminapi.StatusPath)
		if err == nil && status.Host != h.ID {
			// The host list may be out of date and another host may have the
			// address now.
			err = fmt.Errorf("%w: response is from host %q", ErrAdminResponse, status.Host)
		}
		return HostStatus{Host: h, Status: status, Err: err}
	})
}

// Pools implements Fleet.
func (f *AdminFleet) Pools(ctx context.Context) ([]HostPools, error) {
	return queryHosts(ctx, f, func(ctx context.Context, h Host) HostPools {
		pools, err := getJSON[adminapi.Pools](ctx, f, h, adminapi.PoolsPath)
		return HostPools{Host: h, Pools: pools.Pools, Err: err}
	})
}

// queryHosts calls query for all hosts, at most adminConcurrency at a time, and
// returns the results in the order of the host list.
func queryHosts[T any](ctx context.Context, f *AdminFleet, query func(context.Context, Host) T) ([]T, error) {
	hosts, err := f.hosts.Hosts(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	results := make([]T, len(hosts))
	var g errgroup.Group
	g.SetLimit(adminConcurrency)
	for i, h := range hosts {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			results[i] = query(ctx, h)
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
	return results, nil
}

// getJSON sends a GET request to the host's admin endpoint and decodes the JSON
// response.
func getJSON[T any](ctx context.Context, f *AdminFleet, h Host, path string) (T, error) {
	var response T
	if h.AdminAddress == "" {
		return response, ErrNoAdminAddress
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.AdminAddress+path, nil)
	if err != nil {
		return response, fmt.Errorf("admin address %q: %w", h.AdminAddress, err)
	}
	res, err := f.client.Do(req)
	if err != nil {
		return response, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return response, fmt.Errorf("%w: status %d", ErrAdminResponse, res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, adminapi.MaxResponseBytes+1))
	if err != nil {
		return response, err
	}
	if len(body) > adminapi.MaxResponseBytes {
		return response, fmt.Errorf("%w: over %d bytes", ErrAdminResponse, adminapi.MaxResponseBytes)
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return response, fmt.Errorf("%w: %w", ErrAdminResponse, err)
	}
	return response, nil
}
