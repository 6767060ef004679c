package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/peerrpc"
)

// peerService serves the peer listener. The embedded follower serves the
// configuration.
type peerService struct {
	*configstore.Follower
	members  *members
	handover *handover
}

// Heartbeat implements peerrpc.Service.
func (s *peerService) Heartbeat(_ context.Context, in membership.Message) (membership.Message, error) {
	var answer membership.Message
	s.members.update(func(t *membership.Table, now time.Time) (d []membership.Decision) {
		answer, d = t.Receive(now, in)
		return d
	})
	return answer, nil
}

// Probe implements peerrpc.Service.
func (s *peerService) Probe(ctx context.Context, target model.HostID) (membership.ProbeResult, error) {
	h, ok := s.members.view.Load().Hosts[target]
	if !ok {
		return membership.ProbeNoAnswer, peerrpc.ErrUnknownHost
	}
	return s.members.client.Ping(ctx, peerOf(h.Host)), nil
}

// Exchange implements peerrpc.Service.
func (s *peerService) Exchange(_ context.Context, p membership.Page) (membership.Page, error) {
	var answer membership.Page
	s.members.update(func(t *membership.Table, now time.Time) (d []membership.Decision) {
		answer, d = t.Exchange(now, p)
		return d
	})
	return answer, nil
}

// ReceiveHandoverPart implements peerrpc.Service.
func (s *peerService) ReceiveHandoverPart(_ context.Context, p peerrpc.HandoverPart) (peerrpc.HandoverResponse, error) {
	taken, err := s.handover.receivePart(p)
	return peerrpc.HandoverResponse{Taken: taken}, err
}

// failureReportingTransport calls onFailure with the address of a daemon that a
// request could not be sent to or that did not answer a ping. Failures of requests
// that were cancelled or timed out are not reported, except those of pings.
type failureReportingTransport struct {
	http.RoundTripper
	onFailure func(address string)
}

// RoundTrip implements http.RoundTripper.
func (t failureReportingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil && (r.Context().Err() == nil || r.URL.Path == fleet.PathPing) {
		t.onFailure(r.URL.Host)
	}
	return resp, err
}
