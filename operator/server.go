package operator

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/gen/agateusher/v1/agateusherv1connect"
	"github.com/agateusher/agateusher/telemetry"
)

// Defaults of Options.
const (
	// DefaultMaxRequestBytes is enough for a change of about 20,000 servers.
	DefaultMaxRequestBytes = 8 << 20
	// DefaultCallTimeout applies to all calls except reports.
	DefaultCallTimeout = 30 * time.Second
	// DefaultReportTimeout applies to reports, which read one object for each
	// host incarnation of the day.
	DefaultReportTimeout = 10 * time.Minute
)

// Paths of the health endpoints, which require no token.
const (
	LivePath  = "/live"
	ReadyPath = "/ready"
)

// Options configures the service. Store, Fleet, Tokens and Log are required.
type Options struct {
	Store ConfigStore
	Fleet Fleet
	// Reports may be nil; report calls then return CodeUnimplemented.
	Reports Reports
	Tokens  []Token
	Log     telemetry.Logger
	// MaxRequestBytes limits the size of a request; zero means
	// DefaultMaxRequestBytes.
	MaxRequestBytes int
	// CallTimeout applies to all calls except reports, ReportTimeout to reports;
	// zero means the default.
	CallTimeout   time.Duration
	ReportTimeout time.Duration
	// CheckLayout returns the violations in a report layout that is applied, nil
	// if there are none. If CheckLayout is nil, layouts are checked only when a
	// report is requested.
	CheckLayout func(snapshot.ReportLayout) []snapshot.FieldViolation
	// Ready returns an error if the service does not accept calls. If Ready is
	// nil, the service is always ready.
	Ready func(context.Context) error
}

func (o *Options) setDefaults() {
	if o.MaxRequestBytes == 0 {
		o.MaxRequestBytes = DefaultMaxRequestBytes
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.ReportTimeout == 0 {
		o.ReportTimeout = DefaultReportTimeout
	}
	if o.CheckLayout == nil {
		o.CheckLayout = func(snapshot.ReportLayout) []snapshot.FieldViolation { return nil }
	}
	if o.Ready == nil {
		o.Ready = func(context.Context) error { return nil }
	}
}

// NewHandler returns the service's HTTP handler: the RPCs and the health
// endpoints.
func NewHandler(o Options) http.Handler {
	o.setDefaults()
	router := chi.NewRouter()
	router.Get(LivePath, func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, nil) })
	router.Get(ReadyPath, func(w http.ResponseWriter, r *http.Request) { writeHealth(w, o.Ready(r.Context())) })
	router.Group(func(r chi.Router) {
		r.Use(accessLog(o.Log), newAuthenticator(o.Tokens).middleware)
		mountServices(r, o)
	})
	return router
}

func mountServices(r chi.Router, o Options) {
	options := []connect.HandlerOption{
		connect.WithReadMaxBytes(o.MaxRequestBytes),
		connect.WithInterceptors(codeRecorder{}),
		connect.WithRecover(func(ctx context.Context, spec connect.Spec, _ http.Header, cause any) error {
			o.Log.WithFields(telemetry.Fields{"method": spec.Procedure, "cause": cause, "stack": string(debug.Stack())}).Error("operator call panicked")
			return connect.NewError(connect.CodeInternal, ErrPanic)
		}),
	}
	config := &configService{store: o.Store, fleet: o.Fleet, checkLayout: o.CheckLayout}
	mount := func(timeout time.Duration, path string, h http.Handler) {
		r.Handle(path+"*", withTimeout(timeout, h))
	}
	path, h := agateusherv1connect.NewConfigServiceHandler(config, options...)
	mount(o.CallTimeout, path, h)
	path, h = agateusherv1connect.NewFleetServiceHandler(&fleetService{config: config, fleet: o.Fleet}, options...)
	mount(o.CallTimeout, path, h)
	path, h = agateusherv1connect.NewReportServiceHandler(&reportService{store: o.Store, reports: o.Reports}, options...)
	mount(o.ReportTimeout, path, h)
}

// withTimeout cancels the call's context after the timeout.
func withTimeout(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func writeHealth(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// A write error means that the caller has disconnected.
	_, _ = w.Write([]byte("ok\n"))
}
