package fleet

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/internal/stricthttp"
)

var (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("body too large")
	// ErrMalformed means that a field of a fleet message is missing or invalid.
	ErrMalformed = errors.New("malformed fleet message")
)

// callerHeaderPrefix separates the caller's headers from those of the fleet
// protocol.
const callerHeaderPrefix = "Agc-"

// encodeRequest sets the headers of a forwarded request.
func encodeRequest(h http.Header, q *Request) {
	addCallerHeaders(h, q.Header)
	h.Set(HeaderRequestID, string(q.ID))
	h.Set(HeaderService, string(q.Pool.Service))
	h.Set(headerDataCentre, string(q.Pool.DataCentre))
	h.Set(headerShard, strconv.Itoa(q.Pool.Shard))
	h.Set(HeaderRoute, string(q.Route))
	h.Set(HeaderWorkspace, string(q.Workspace))
	h.Set(headerRepeatable, strconv.FormatBool(q.Repeatable))
	h.Set(HeaderBudget, strconv.FormatInt(q.Budget.Microseconds(), 10))
	h.Set(HeaderEpoch, q.Epoch.String())
	h.Set(headerMethod, q.Method)
	h.Set(headerTarget, q.Target)
	h.Set(headerAuthority, q.Authority)
	if q.Key != "" {
		h.Set(HeaderKey, q.Key)
	}
	setKeyUse(h, q.KeyUse)
}

func setKeyUse(h http.Header, use uint32) {
	if use > 0 {
		h.Set(headerKeyUse, strconv.FormatUint(uint64(use), 10))
	}
}

// keyUse reads the use of a key. A malformed value counts as zero, which the owner
// refuses like any other use that is not current.
func keyUse(h http.Header) uint32 {
	use, err := strconv.ParseUint(h.Get(headerKeyUse), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(use)
}

// DecodeRequest reads a forwarded request with its body, which may be at most
// maxBody bytes. Errors wrap ErrMalformed or ErrTooLarge, or are read errors.
func DecodeRequest(r *http.Request, maxBody int64) (*Request, error) {
	h := r.Header
	shard, err1 := strconv.Atoi(h.Get(headerShard))
	budget, err2 := strconv.ParseInt(h.Get(HeaderBudget), 10, 64)
	epoch, err3 := strconv.ParseUint(h.Get(HeaderEpoch), 10, 64)
	repeatable, err4 := strconv.ParseBool(h.Get(headerRepeatable))
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	body, err := ReadBody(r.Body, r.ContentLength, maxBody)
	if err != nil {
		return nil, err
	}
	return &Request{
		ID:         model.RequestID(h.Get(HeaderRequestID)),
		Pool:       model.PoolID{Service: model.ServiceName(h.Get(HeaderService)), DataCentre: model.DataCentre(h.Get(headerDataCentre)), Shard: shard},
		Route:      model.RouteName(h.Get(HeaderRoute)),
		Workspace:  model.WorkspaceID(h.Get(HeaderWorkspace)),
		Repeatable: repeatable,
		Key:        h.Get(HeaderKey),
		KeyUse:     keyUse(h),
		Budget:     time.Duration(budget) * time.Microsecond,
		Epoch:      model.Epoch(epoch),
		Method:     h.Get(headerMethod),
		Target:     h.Get(headerTarget),
		Authority:  h.Get(headerAuthority),
		Header:     callerHeaders(h),
		Body:       body,
	}, nil
}

// WriteResponse writes the owner's response with HTTP status 200; the status from
// the backend server is sent in a header.
func WriteResponse(w http.ResponseWriter, p *Response) {
	h := w.Header()
	addCallerHeaders(h, p.Header)
	h.Set(HeaderOutcome, p.Outcome.String())
	h.Set(HeaderQueueDelay, strconv.FormatInt(p.Load.QueueDelay.Microseconds(), 10))
	h.Set(HeaderFreeSlots, strconv.Itoa(p.Load.FreeSlots))
	h.Set(headerStatus, strconv.Itoa(p.Status))
	if p.Reason != model.ReasonNone {
		h.Set(HeaderReason, string(p.Reason))
	}
	if p.RetryAfter > 0 {
		h.Set(headerRetryMs, strconv.FormatInt(p.RetryAfter.Milliseconds(), 10))
	}
	setKeyUse(h, p.KeyUse)
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(p.Body)))
	// A failed write means that the entry has disconnected, so that the error
	// cannot be reported to it.
	_, _ = w.Write(p.Body)
}

// decodeResponse reads the owner's response with its body, which may be at most
// maxBody bytes.
func decodeResponse(r *http.Response, maxBody int64) (Response, error) {
	h := r.Header
	outcome, ok := model.ParseOutcome(h.Get(HeaderOutcome))
	status, err := strconv.Atoi(h.Get(headerStatus))
	if !ok || err != nil || (outcome == model.Answered && !stricthttp.IsFinal(status)) {
		return Response{}, fmt.Errorf("%w: response with status %d has no valid outcome or backend status", ErrMalformed, r.StatusCode)
	}
	body, err := ReadBody(r.Body, r.ContentLength, maxBody)
	if err != nil {
		return Response{}, err
	}
	delay, _ := strconv.ParseInt(h.Get(HeaderQueueDelay), 10, 64)
	free, _ := strconv.Atoi(h.Get(HeaderFreeSlots))
	retry, _ := strconv.ParseInt(h.Get(headerRetryMs), 10, 64)
	return Response{
		Outcome:    outcome,
		Reason:     model.Reason(h.Get(HeaderReason)),
		RetryAfter: time.Duration(retry) * time.Millisecond,
		Status:     status,
		Header:     callerHeaders(h),
		Body:       body,
		KeyUse:     keyUse(h),
		Load:       Load{QueueDelay: time.Duration(delay) * time.Microsecond, FreeSlots: free},
	}, nil
}

// ReadBody reads a whole body. The error wraps ErrTooLarge if the body exceeds the
// limit in bytes, and io.ErrUnexpectedEOF if it is shorter than its declared
// length; a negative length means that none was declared.
func ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length == 0 || body == nil {
		return nil, nil
	}
	if length > 0 {
		buf := make([]byte, length)
		if _, err := io.ReadFull(body, buf); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("read body: %w", err)
		}
		return buf, nil
	}
	buf, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(buf)) > limit {
		return nil, ErrTooLarge
	}
	return buf, nil
}

func addCallerHeaders(dst, src http.Header) {
	for name, values := range src {
		dst[callerHeaderPrefix+name] = values
	}
}

func callerHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if rest, ok := strings.CutPrefix(name, callerHeaderPrefix); ok {
			out[rest] = values
		}
	}
	return out
}
