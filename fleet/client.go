package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel/propagation"

	"github.com/agateusher/agateusher/core/model"
)

// ForwardError reports a forwarded request without an answer.
type ForwardError struct {
	Host model.HostID
	// Sent says whether any byte may have reached the other daemon.
	Sent bool
	Err  error
}

// Error implements error.
func (e *ForwardError) Error() string {
	return fmt.Sprintf("forward to host %s (sent=%t): %v", e.Host, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Err }

// StatusError reports an HTTP status that is not part of the fleet protocol.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("fleet endpoint returned status %d", e.Status)
}

// Client sends requests to the fleet listeners of other daemons.
type Client struct {
	Transport  http.RoundTripper
	Secrets    Secrets
	Propagator propagation.TextMapPropagator
	// MaxBody bounds an answer's body in bytes.
	MaxBody int64
}

// Peer addresses another daemon.
type Peer struct {
	Host model.HostID
	// Address of the fleet listener, "ip:port".
	Address string
}

// Forward passes a request to an owner. The error is always *ForwardError.
func (c *Client) Forward(ctx context.Context, to Peer, q *Request) (Response, error) {
	ctx, watch := WatchSend(ctx)
	resp, err := c.exchange(ctx, to, q)
	if err != nil {
		return Response{}, &ForwardError{Host: to.Host, Sent: watch.Sent(), Err: err}
	}
	return resp, nil
}

func (c *Client) exchange(ctx context.Context, to Peer, q *Request) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+PathForward, nil)
	if err != nil {
		return Response{}, err
	}
	r.Body, r.ContentLength = NewOnceBody(q.Body), int64(len(q.Body))
	encodeRequest(r.Header, q)
	c.Propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	c.Secrets.Sign(r)
	resp, err := c.Transport.RoundTrip(r)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Response{}, &StatusError{Status: resp.StatusCode}
	}
	return decodeResponse(resp, c.MaxBody)
}

// IssueKeys asks an owner to issue keys.
func (c *Client) IssueKeys(ctx context.Context, to Peer, q KeysRequest) (KeysResponse, error) {
	var out KeysResponse
	err := c.call(ctx, to, PathKeys, q, &out)
	return out, err
}

// ReportDemand reports demand to the owner of another pool.
func (c *Client) ReportDemand(ctx context.Context, to Peer, q Demand) error {
	return c.call(ctx, to, PathDemand, q, nil)
}

// TransferHealth passes verdicts to a pool's next owner.
func (c *Client) TransferHealth(ctx context.Context, to Peer, h PoolHealth) error {
	return c.call(ctx, to, PathHealth, h, nil)
}

// Ping checks that a daemon's fleet listener answers.
func (c *Client) Ping(ctx context.Context, to Peer) error {
	return c.call(ctx, to, PathPing, struct{}{}, nil)
}

func (c *Client) call(ctx context.Context, to Peer, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	c.Secrets.Sign(r)
	resp, err := c.Transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	raw, err := ReadBody(resp.Body, resp.ContentLength, c.MaxBody)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// IsSent reports whether err is a failed forward of which some byte may have
// reached the other daemon.
func IsSent(err error) bool {
	var h *ForwardError
	return errors.As(err, &h) && h.Sent
}
