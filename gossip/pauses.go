package gossip

import (
	"net"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

const (
	// pauseTellers is the number of hosts that tell a restarted one of its pauses.
	pauseTellers = 3
	// pauseKeyPrefix precedes the host's ID in the ranking of those that tell it.
	pauseKeyPrefix = "pauses/"
)

// sendPauses tells a restarted daemon of this data centre which servers had asked it for a
// pause. Only the hosts that are ranked first for it do so.
func (g *Gossiper) sendPauses(to model.HostID, address *net.UDPAddr) {
	pauses := g.handler.PausesOf(to)
	if len(pauses) == 0 {
		return
	}
	now := time.Now()
	tellers := []model.HostID{g.self.ID}
	g.mu.Lock()
	for _, m := range g.localMembers() {
		if m.live(now) && m.ID != to {
			tellers = append(tellers, m.ID)
		}
	}
	g.mu.Unlock()
	if !slices.Contains(ranking.Top(pauseKeyPrefix+string(to), tellers, pauseTellers), g.self.ID) {
		return
	}
	m := g.message()
	m.Pauses = pauses
	g.write(m, []*net.UDPAddr{address})
}
