package operator

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/agateusher/agateusher/telemetry"
)

// codeOK is logged as the code of a call without an error.
const codeOK = "ok"

// callRecord collects the access log fields of one call that inner handlers
// determine.
type callRecord struct {
	operator string
	code     string
}

func (r *callRecord) setCode(c connect.Code) { r.code = c.String() }

type recordKey struct{}

// recordOf returns the call's record, or an unused one if the context belongs to
// no logged call.
func recordOf(ctx context.Context) *callRecord {
	if r, ok := ctx.Value(recordKey{}).(*callRecord); ok {
		return r
	}
	return &callRecord{}
}

// accessLog logs one line for each call when it ends.
func accessLog(log telemetry.Logger) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			started := time.Now()
			record := &callRecord{code: codeOK}
			ww := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
			next.ServeHTTP(ww, r.WithContext(context.WithValue(r.Context(), recordKey{}, record)))
			log.WithFields(telemetry.Fields{
				"method":    r.URL.Path,
				"operator":  record.operator,
				"peer":      r.RemoteAddr,
				"code":      record.code,
				"status":    ww.Status(),
				"bytes":     ww.BytesWritten(),
				"elapsedMs": time.Since(started).Milliseconds(),
			}).Info("operator call")
		})
	}
}

// codeRecorder is an interceptor that records the code of each failed call for
// the access log.
type codeRecorder struct{}

// WrapUnary implements connect.Interceptor.
func (codeRecorder) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		res, err := next(ctx, req)
		if err != nil {
			recordOf(ctx).setCode(connect.CodeOf(err))
		}
		return res, err
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (codeRecorder) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (codeRecorder) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		err := next(ctx, conn)
		if err != nil {
			recordOf(ctx).setCode(connect.CodeOf(err))
		}
		return err
	}
}
