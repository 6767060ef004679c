package edge

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
)

// maxResendBody bounds the bodies that are sent on a connection that may have gone stale.
// Large ones are not acknowledged in time on a busy link and cost the link twice.
const maxResendBody = 16 << 10

// connReuse returns which idle connections the next attempt may use. An idempotent request
// may use any while the retry budget allows to send it again. A request that is not
// idempotent may use a recent one for its first attempt only: on a connection that carried
// its own ID before, a late response could not be told from the one it waits for.
func (f *forwarding) connReuse() connReuse {
	switch {
	case f.noReuse || (!f.route.Idempotent && f.dials > 0):
		return newConnection
	case f.route.Idempotent && len(f.request.body) <= maxResendBody && f.node.serverState.budgetAllows(f.service):
		return idleConnection
	}
	return recentConnection
}

// budgetAllows reports whether the retry budget allows another attempt of an idempotent
// request. Unlike allowRetry, it does not count as a refusal.
func (s *serverState) budgetAllows(name model.ServiceName) (allowed bool) {
	s.update(func(now time.Time) { allowed = s.table.AllowRetry(now, name, true) })
	return allowed
}

// resend sends an idempotent request to the same server on a new connection, after an idle
// connection had been dropped. The first attempt may have arrived, so that the retry budget
// is charged; but there is no second server for max_attempts.
func (f *forwarding) resend(ctx context.Context, server balance.ServerKey) bool {
	f.noReuse = true
	if !f.route.Idempotent {
		return false
	}
	f.countedAttempts--
	if f.attemptsLeft() && f.allowRetry() {
		q := f.query()
		q.Allowed, q.Excluded, q.CanRetry = []balance.ServerKey{server}, nil, false
		if f.send(ctx, q) {
			return true
		}
	}
	f.countedAttempts++
	return false
}
