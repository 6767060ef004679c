package edge

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// AdmitQuota decides about a request of a workspace, without the rest of the request path.
func (n *Node) AdmitQuota(ctx context.Context, w model.WorkspaceID, timeout time.Duration) (admitted bool, result string, wait time.Duration) {
	d := n.quotas.admit(ctx, w, time.Now().Add(timeout))
	return d.admitted(), d.result, d.wait
}

// QuotaShare returns the part of all limits that this host issues.
func (n *Node) QuotaShare() float64 { return n.quotas.gauges()["quota_issuer_share"] }
