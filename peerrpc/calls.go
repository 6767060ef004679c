package peerrpc

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

const (
	// HeartbeatTimeout limits a heartbeat; the longest round trip takes 60 ms, and
	// opening a connection takes four round trips.
	HeartbeatTimeout = 400 * time.Millisecond
	// ProbeTimeout limits the ping that a helper sends to the target of a probe;
	// probeRequestTimeout also covers the request to the helper.
	ProbeTimeout        = 400 * time.Millisecond
	probeRequestTimeout = 700 * time.Millisecond
	// exchangeTimeout limits the exchange of a page.
	exchangeTimeout = 2 * time.Second
)

// Heartbeat sends a heartbeat and returns the response.
func (c *Client) Heartbeat(ctx context.Context, to Peer, m membership.Message) (membership.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	var answer membership.Message
	err := c.call(ctx, to, control, methodHeartbeat, m, &answer)
	return answer, err
}

// Ping checks whether a daemon is reachable, on behalf of another one.
func (c *Client) Ping(ctx context.Context, to Peer) membership.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	err := c.call(ctx, to, control, methodPing, nil, nil)
	switch {
	case err == nil:
		return membership.ProbeReached
	case IsConnectionRefused(err):
		return membership.ProbeRefused
	}
	return membership.ProbeFailed
}

// Probe asks a helper to check whether target is reachable.
func (c *Client) Probe(ctx context.Context, helper Peer, target model.HostID) membership.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeRequestTimeout)
	defer cancel()
	var r membership.ProbeResult
	if err := c.call(ctx, helper, control, methodProbe, target, &r); err != nil {
		return membership.ProbeNoAnswer
	}
	return r
}

// Exchange sends a page of the membership table and returns the peer's page.
func (c *Client) Exchange(ctx context.Context, to Peer, p membership.Page) (membership.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer membership.Page
	err := c.call(ctx, to, control, methodExchange, p, &answer)
	return answer, err
}

// Source returns a peer as a source of the configuration.
func (c *Client) Source(p Peer) configstore.Source { return source{client: c, peer: p} }

type source struct {
	client *Client
	peer   Peer
}

// Status implements configstore.Source.
func (s source) Status(ctx context.Context) (configstore.Status, error) {
	var out configstore.Status
	err := s.client.call(ctx, s.peer, bulk, methodStatus, nil, &out)
	return out, err
}

// Head implements configstore.Source.
func (s source) Head(ctx context.Context) ([]byte, error) {
	var out []byte
	err := s.client.call(ctx, s.peer, bulk, methodHead, nil, &out)
	return out, err
}

// Chunk implements configstore.Source.
func (s source) Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	var out []byte
	err := s.client.call(ctx, s.peer, bulk, methodChunk, name, &out)
	return out, err
}
