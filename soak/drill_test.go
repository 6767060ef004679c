package soak

import (
	"math/rand/v2"
	"time"

	"github.com/agateusher/agateusher/standin/consortium"
)

// minCopyAge is the least age of a copy from which the store comes back.
const minCopyAge = time.Second

// injectDrill makes a copy of the store's content, or lets the store come back from the one
// made before, in some of its calls. What the operators and the servers wrote since is lost
// and written again a moment later. It has random numbers of its own, so that the other
// faults of a seed stay what they were.
func (w *deployment) injectDrill(random *rand.Rand) {
	away, gap := time.Duration(100+random.IntN(900))*time.Millisecond, time.Duration(random.IntN(400))*time.Millisecond
	fault := []consortium.Fault{consortium.Busy, consortium.Silent, consortium.Reset}[random.IntN(3)]
	switch chance := random.IntN(3); {
	case w.copiedAt.IsZero():
		if chance == 0 {
			w.copied, w.copiedAt = w.store.Copy(), time.Now()
		}
		return
	case chance != 0 || time.Since(w.copiedAt) < minCopyAge:
		return
	}
	w.t.Logf("%s drill: away for %s, back from a copy of %s ago", time.Now().Format("05.000"), away, time.Since(w.copiedAt).Round(time.Millisecond))
	w.store.SetFault(fault)
	time.Sleep(away)
	w.store.Restore(w.copied)
	w.store.SetFault(consortium.Healthy)
	time.Sleep(gap)
	w.putConfig()
	w.registerAgain()
	// Now and then the next drill uses the same copy.
	if random.IntN(3) > 0 {
		w.copiedAt = time.Time{}
	}
}
