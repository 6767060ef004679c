package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/telemetry"
)

// Query parameters of catalogPath: the versions that the caller has, its region, and the
// form of the response that it understands.
const (
	epochParameter    = "epoch"
	revisionParameter = "revision"
	regionParameter   = "region"
	formParameter     = "form"
)

// encodedForm is the value of formParameter for the form of catalog.Encoder.
const encodedForm = "encoded"

// Statuses of catalogPath besides 200.
const (
	statusNoContent   = http.StatusNoContent
	statusOtherRegion = http.StatusConflict
	statusBusy        = http.StatusServiceUnavailable
)

const (
	// wholeTransfersMin and wholeTransfersMax bound the whole contents that a daemon
	// sends at the same time; others are told to ask another daemon. A host with a link
	// of linkPerTransfer times the minimum or less sends the minimum.
	wholeTransfersMin = 2
	wholeTransfersMax = 16
	// linkPerTransfer is the part of the link for each transfer, in Mbit/s.
	linkPerTransfer = 5
	// contentWriteTimeout bounds one response, so that a receiver that is cut off does
	// not occupy a transfer.
	contentWriteTimeout = 10 * time.Second
)

// contentServer sends this daemon's content to others.
type contentServer struct {
	encoder catalog.Encoder
	// whole has an element for each whole content that is being sent.
	whole chan struct{}
	sent  *telemetry.CounterVec
	scope telemetry.Scope
}

func newContentServer(linkMbps float64, scope telemetry.Scope) *contentServer {
	n := min(wholeTransfersMax, max(wholeTransfersMin, int(linkMbps/linkPerTransfer)))
	return &contentServer{whole: make(chan struct{}, n), sent: telemetry.NewCounterVec(scope, "content_sent", "result", ""), scope: scope}
}

// serveCatalog answers with what has changed since the caller's versions. Without
// valid parameters it answers with the whole content.
func (n *Node) serveCatalog(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	epoch, epochErr := strconv.ParseUint(q.Get(epochParameter), 10, 64)
	revision, revisionErr := strconv.ParseUint(q.Get(revisionParameter), 10, 64)
	has := catalog.Versions{Epoch: model.Epoch(epoch), Revision: catalog.Revision(revision)}
	if epochErr != nil || revisionErr != nil {
		has = catalog.Versions{}
	}
	own := n.cache.Versions()
	if q.Get(formParameter) != encodedForm {
		// A daemon of an older version does not know differences of configurations.
		if has.Epoch != own.Epoch {
			has.Epoch = 0
		}
		n.writeJSON(w, n.snapshot(has))
		return
	}
	region := model.Region(q.Get(regionParameter))
	switch {
	case region != "" && region != n.settings.Host.Region:
		n.refuseContent(w, statusOtherRegion, "other-region")
	case own.Epoch == 0 || own.Revision == 0:
		n.refuseContent(w, statusNoContent, "none")
	default:
		n.sendContent(w, has)
	}
}

// snapshot returns the content for a daemon that has the given versions.
func (n *Node) snapshot(has catalog.Versions) catalog.Snapshot {
	s := n.cache.Snapshot(time.Now(), has)
	s.ConfigAge = n.exportedAge(s.ConfigAge)
	return s
}

func (n *Node) refuseContent(w http.ResponseWriter, status int, reason string) {
	n.content.sent.Inc(reason, "")
	w.WriteHeader(status)
}

func (n *Node) sendContent(w http.ResponseWriter, has catalog.Versions) {
	s := n.snapshot(has)
	result := "difference"
	if s.Config != nil && s.ConfigSince == 0 {
		result = "whole"
		select {
		case n.content.whole <- struct{}{}:
			defer func() { <-n.content.whole }()
		default:
			n.refuseContent(w, statusBusy, "busy")
			return
		}
	}
	data, err := n.content.encoder.Encode(s)
	if err != nil {
		n.log.WithField("event", "content_encoding_failed").WithError(err).Error("the content cannot be encoded for another daemon")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(contentWriteTimeout))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := w.Write(data); err != nil {
		n.log.WithField("event", "peer_answer_failed").WithError(err).Info("cannot send a response to another daemon")
		result = "failed"
	}
	n.content.sent.Inc(result, "")
	n.content.scope.Counter("content_sent_bytes").Inc(int64(len(data)))
}

func (n *Node) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.WithField("event", "peer_answer_failed").WithError(err).Info("cannot send a response to another daemon")
	}
}
