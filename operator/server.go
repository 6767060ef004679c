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
	// DefaultMaxRequestBytes allows a change of some 20,000 servers.
	DefaultMaxRequestBytes = 8 << 20
	// DefaultCallTimeout bounds a call other than a report.
	DefaultCallTimeout = 30 * time.Second
	// DefaultReportTimeout bounds a report, which reads one object for each host
	// incarnation of the day.
	DefaultReportTimeout = 10 * time.Minute
)

// Paths of the health endpoints, which need no token.
const (
	LivePath  = "/live"
	ReadyPath = "/ready"
)

// Options configures the service. Store, Fleet, Tokens and Log are needed.
type Options struct {
	Store ConfigStore
	Fleet Fleet
	// Reports may be nil: reports are then unimplemented.
	Reports Reports
	Tokens  []Token
	Log     telemetry.Logger
	// MaxRequestBytes bounds a request; zero: DefaultMaxRequestBytes.
	MaxRequestBytes int
	// CallTimeout and ReportTimeout bound a call; zero: the defaults.
	CallTimeout   time.Duration
	ReportTimeout time.Duration
	// CheckLayout returns the mistakes of a report layout that is applied, nil if
	// there are none; nil: layouts are checked when a report is asked for.
	CheckLayout func(snapshot.ReportLayout) []snapshot.FieldViolation
	// Ready says whether the service accepts calls; nil: always.
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

// withTimeout ends the call's context after the timeout.
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
	// A failed write means that the caller went away.
	_, _ = w.Write([]byte("ok\n"))
}
