package edge

import (
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/telemetry"
)

// observeSignals records what the head of a response says about its server. It is called
// before the body is read, so that no request is sent to the server meanwhile. announce is
// called if the other daemons have to be told that the server is leaving.
func (s *serverState) observeSignals(server balance.Server, leaving bool, pause time.Duration, announce func([]*gen.LeavingServer)) {
	added := false
	s.update(func(now time.Time) {
		added = leaving && s.table.ObserveLeaving(now, balance.Leaving{Server: server.Key})
		s.table.ObservePause(now, server.Key, pause)
	})
	if pause > 0 {
		s.log.WithFields(telemetry.Fields{"event": "server_paused", "server": server.ID, "for": pause.Round(time.Millisecond)}).
			Info("a backend server wants no requests from this host for a while")
	}
	if added {
		s.logLeaving(server.ID, s.localHost)
		announce([]*gen.LeavingServer{{Server: uint64(server.Key)}})
	}
}

func (s *serverState) logLeaving(server model.ServerID, from model.HostID) {
	s.log.WithFields(telemetry.Fields{"event": "server_leaving", "server": server, "from": from}).
		Info("a backend server is leaving and gets no requests any more")
}

// mayReceive reports whether a request may still be sent to a server that was chosen for
// it before.
func (s *serverState) mayReceive(key balance.ServerKey) (ok bool) {
	s.update(func(now time.Time) { ok = s.table.MayReceive(now, key) })
	return ok
}

// leavingServers returns the servers that are leaving, for other daemons.
func (s *serverState) leavingServers() []*gen.LeavingServer {
	var list []balance.Leaving
	s.update(func(now time.Time) { list = s.table.LeavingServers(now) })
	out := make([]*gen.LeavingServer, 0, len(list))
	for _, l := range list {
		out = append(out, &gen.LeavingServer{Server: uint64(l.Server), AgeMs: uint32(l.Age.Milliseconds()), LeftMs: uint32(l.Left.Milliseconds())})
	}
	return out
}

// addLeaving records servers that another daemon knows to be leaving, and returns those
// that were not known.
func (s *serverState) addLeaving(from model.HostID, list []*gen.LeavingServer) (added []*gen.LeavingServer) {
	var ids []model.ServerID
	s.update(func(now time.Time) {
		for _, l := range list {
			key := balance.ServerKey(l.Server)
			if s.table.ObserveLeaving(now, balance.Leaving{
				Server: key, Age: time.Duration(l.AgeMs) * time.Millisecond, Left: time.Duration(l.LeftMs) * time.Millisecond,
			}) {
				server, _ := s.table.Server(key)
				added, ids = append(added, l), append(ids, server.ID)
			}
		}
	})
	for _, id := range ids {
		s.logLeaving(id, from)
	}
	return added
}

// withheldServers returns the numbers of servers that are known to be leaving, and of
// those that asked this host for a pause.
func (s *serverState) withheldServers() (leaving, paused int) {
	s.update(func(now time.Time) {
		leaving, paused = len(s.table.LeavingServers(now)), s.table.PausedServers(now)
	})
	return leaving, paused
}

// Leaving implements gossip.Handler.
func (p gossipHandler) Leaving() []*gen.LeavingServer { return p.serverState.leavingServers() }

// LeavingDigest implements gossip.Handler.
func (p gossipHandler) LeavingDigest() (digest uint32) {
	p.serverState.update(func(now time.Time) { digest = p.serverState.table.LeavingDigest(now) })
	return digest
}

// PeerLeaving implements gossip.Handler.
func (p gossipHandler) PeerLeaving(from model.HostID, list []*gen.LeavingServer) []*gen.LeavingServer {
	return p.serverState.addLeaving(from, list)
}

// PausesOf implements gossip.Handler.
func (p gossipHandler) PausesOf(h model.HostID) (out []*gen.ServerPause) {
	p.serverState.update(func(now time.Time) {
		for _, x := range p.serverState.table.PeerPauses(now, h) {
			out = append(out, &gen.ServerPause{Server: uint64(x.Server), LeftMs: uint32(x.Left.Milliseconds())})
		}
	})
	return out
}

// OwnPauses implements gossip.Handler.
func (p gossipHandler) OwnPauses(pauses []*gen.ServerPause) {
	p.serverState.update(func(now time.Time) {
		for _, x := range pauses {
			p.serverState.table.ObservePause(now, balance.ServerKey(x.Server), time.Duration(x.LeftMs)*time.Millisecond)
		}
	})
}
