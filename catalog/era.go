package catalog

import (
	"fmt"

	"github.com/agateusher/agateusher/telemetry"
)

// Sources from which an era is learned, as counted in metrics and shown in the log.
const (
	eraFromStore = "store"
	eraFromPeer  = "peer"
)

// OnEraChange sets a function that is called when the store is found to have come back from
// an older copy, with the source of that knowledge. It must be set before the tasks run.
func (f *Follower) OnEraChange(changed func(learnedFrom string)) { f.eraChanged = changed }

// checkEra records the eras that the store has named up to the end of a call, and refuses an
// answer, which brings the content up to a revision, of an earlier era than the newest.
func (f *Follower) checkEra(r Revision, err error) error {
	f.observeEra(f.source.Era(), eraFromStore)
	if err != nil {
		return err
	}
	f.observeEra(r.Era(), eraFromStore)
	if known := f.cache.Era(); r.Era() < known {
		return fmt.Errorf("%w: era %d, newest %d", errOldEra, r.Era(), known)
	}
	return nil
}

// ObserveStoreEra records the newest era that any answer of the store has named, also to
// calls other than this follower's.
func (f *Follower) ObserveStoreEra() { f.observeEra(f.source.Era(), eraFromStore) }

// ObservePeerEra records the era of another daemon's content.
func (f *Follower) ObservePeerEra(e Era) { f.observeEra(e, eraFromPeer) }

// observeEra records an era. Watches that wait in an earlier one are ended: the store may
// never answer them.
func (f *Follower) observeEra(e Era, from string) {
	before := f.cache.ObserveEra(e)
	if e <= before {
		return
	}
	for _, l := range f.loops {
		l.interrupt(ErrEraChanged)
	}
	if before == 0 {
		return // the first era that this daemon hears of
	}
	v := f.cache.Versions()
	f.log.WithFields(telemetry.Fields{"event": "store_era_changed", "era": e, "before": before, "epoch": v.Epoch, "revision": v.Revision, "learned_from": from}).
		Warn("the store came back from an older copy; it is read again")
	f.eraChanged(from)
}

// logReread logs what is kept of the servers of an earlier era, before the set of a new one
// replaces it.
func (f *Follower) logReread(r Revision) {
	if before := f.cache.Versions().Revision; before != 0 && r.Era() > before.Era() {
		f.log.WithFields(telemetry.Fields{"event": "servers_read_again", "revision": r, "before": before}).
			Info("the servers of the store's copy replace those of the earlier era; what had left is not used")
	}
}
