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
)

const (
	// adminConcurrency bounds the hosts that are asked at a time.
	adminConcurrency = 64
	// DefaultAdminTimeout bounds the question to one host.
	DefaultAdminTimeout = 2 * time.Second
)

var (
	// ErrNoAdminAddress: the host list has no admin address for the host.
	ErrNoAdminAddress = errors.New("no admin address in the host list")
	// ErrAdminResponse: the endpoint sent an invalid response or that of another
	// host.
	ErrAdminResponse = errors.New("unusable answer from the admin endpoint")
)

// AdminFleet asks the daemons' admin endpoints. Use NewAdminFleet.
type AdminFleet struct {
	hosts   HostLister
	client  *http.Client
	timeout time.Duration
}

// NewAdminFleet returns a Fleet that reads the host list on each call and asks
// every host, each for at most the timeout; zero means DefaultAdminTimeout.
func NewAdminFleet(hosts HostLister, timeout time.Duration) *AdminFleet {
	if timeout == 0 {
		timeout = DefaultAdminTimeout
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &AdminFleet{hosts: hosts, client: &http.Client{Transport: transport}, timeout: timeout}
}

// Close drops idle connections.
func (f *AdminFleet) Close() { f.client.CloseIdleConnections() }

// Status implements Fleet.
func (f *AdminFleet) Status(ctx context.Context) ([]HostStatus, error) {
	return askAll(ctx, f, func(ctx context.Context, h Host) HostStatus {
		status, err := ask[adminapi.Status](ctx, f, h, adminapi.StatusPath)
		if err == nil && status.Host != h.ID {
			// The list lags, so that the address may belong to a newer host.
			err = fmt.Errorf("%w: answered as host %q", ErrAdminResponse, status.Host)
		}
		return HostStatus{Host: h, Status: status, Err: err}
	})
}

// Pools implements Fleet.
func (f *AdminFleet) Pools(ctx context.Context) ([]HostPools, error) {
	return askAll(ctx, f, func(ctx context.Context, h Host) HostPools {
		pools, err := ask[adminapi.Pools](ctx, f, h, adminapi.PoolsPath)
		return HostPools{Host: h, Pools: pools.Pools, Err: err}
	})
}

// askAll returns one answer for each host, in the order of the host list.
func askAll[T any](ctx context.Context, f *AdminFleet, one func(context.Context, Host) T) ([]T, error) {
	hosts, err := f.hosts.Hosts(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	answers := make([]T, len(hosts))
	var g errgroup.Group
	g.SetLimit(adminConcurrency)
	for i, h := range hosts {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			answers[i] = one(ctx, h)
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
	return answers, nil
}

func ask[T any](ctx context.Context, f *AdminFleet, h Host, path string) (T, error) {
	var answer T
	if h.AdminAddress == "" {
		return answer, ErrNoAdminAddress
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.AdminAddress+path, nil)
	if err != nil {
		return answer, fmt.Errorf("admin address %q: %w", h.AdminAddress, err)
	}
	res, err := f.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w: status %d", ErrAdminResponse, res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, adminapi.MaxResponseBytes+1))
	if err != nil {
		return answer, err
	}
	if len(body) > adminapi.MaxResponseBytes {
		return answer, fmt.Errorf("%w: over %d bytes", ErrAdminResponse, adminapi.MaxResponseBytes)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, fmt.Errorf("%w: %w", ErrAdminResponse, err)
	}
	return answer, nil
}
