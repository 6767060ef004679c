package loadgen

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/standin/backend"
)

// directPrefix marks the identifiers of direct calls.
const directPrefix = "direct-"

// directResult is the result of one direct call to a backend server. Its times
// are those of result.
type directResult struct {
	intended   time.Time
	sinceStart time.Duration
	overhead   time.Duration
	failed     bool
}

// callDirectly makes one call to a backend server of the run. It leaves out the
// server with the planned fault, whose latency would distort the comparison with
// the fleet.
func (r *runner) callDirectly(ctx context.Context, id string, op Operation, intended, started time.Time, seq int) {
	server := r.servers[seq%len(r.servers)]
	if f := r.config.Fault; f != nil && server.ID == f.Server {
		server = r.servers[(seq+1)%len(r.servers)]
	}
	d := directResult{intended: intended, failed: true}
	if answer, err := r.directAnswer(ctx, server.Address, op, directPrefix+id); err == nil {
		d.failed = false
		d.sinceStart = time.Since(started)
		d.overhead = d.sinceStart - time.Duration(answer.BusyUs)*time.Microsecond
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct = append(r.direct, d)
}

func (r *runner) directAnswer(ctx context.Context, address string, op Operation, id string) (backend.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	url := requestURL(address, op, id, r.config.Bytes) + "&" + backend.QueryDirect + "=1"
	req, err := http.NewRequestWithContext(ctx, op.Method, url, nil)
	if err != nil {
		return backend.Answer{}, err
	}
	resp, err := r.caller.http.Do(req)
	if err != nil {
		return backend.Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return backend.Answer{}, err
	}
	return backend.CheckAnswer(body, id, r.config.Bytes)
}
