// Package forward proxies callers' requests to backend servers by the routes of
// the active configuration.
//
// Each request goes through the same steps: its route is matched, its caller's
// organisation is found if the configuration holds any, its body is buffered up to a limit, a server is chosen, the request is sent, and its answer
// is checked and forwarded. A request is retried only if it provably did not run,
// or if its route is idempotent, and within the route's attempts and the service's
// retry budget.
//
// Status 503 means that the request did not run and never will; Retry-After gives
// the time after which the caller may retry. Once a non-idempotent request may have
// started to run, it ends with the server's answer, 502 or 504.
//
// # Usage
//
//	h := &forward.Handler{
//		Config: current.Load, Dispatcher: &dispatch.Dispatcher{Roster: r},
//		Upstream: client, Quarantine: list, CrashChecks: checker, RetryLimits: limits, Leaving: leaving,
//		Headers: names, Load: loadReport, StoreAge: age, Log: log, Metrics: set,
//	}
//	http.Serve(listener, h)
package forward

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/internal/admitorder"
	"github.com/shallotpier/shallotpier/internal/crashcheck"
	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/linger"
	"github.com/shallotpier/shallotpier/internal/organisation"
	"github.com/shallotpier/shallotpier/internal/pipeline"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// ConfigFormat is the Format of the configurations that this build decodes: 1 since they may
// hold organisations.
const ConfigFormat = 1

type (
	// Config is a configuration of the entry. It must not be modified.
	Config struct {
		// Version is the version of the configuration.
		Version id.Version `json:"version"`
		// Routes matches requests to routes.
		Routes *route.Table `json:"routes"`
		// Organisations finds the organisations of requests, nil if the configuration holds
		// none.
		Organisations *organisation.Table `json:"organisations,omitempty"`
		// MaxBody is the longest body of a request in bytes; 0 means no limit.
		MaxBody int64 `json:"maxBody"`
		// Format tells what the build that decoded the configuration knows of it, at most
		// ConfigFormat. An entry may get the configuration from one of another build.
		Format int `json:"format,omitempty"`
	}

	// Headers holds the names of the headers that callers, entries and servers
	// exchange.
	Headers struct {
		// RequestID holds the id of one attempt of a caller.
		RequestID string
		// Deadline holds the time left for the request in milliseconds.
		Deadline string
		// Object is the cookie that identifies the object of a request.
		Object string
		// Expect holds the name of the server that the request is sent to, so that
		// another server at the same address refuses it.
		Expect string
		// NotRun marks an answer to a request that the server did not run.
		NotRun string
		// Signature marks the answers that backend servers produced themselves.
		Signature string
		// Organisation holds, in requests to servers, the name of the caller's organisation.
		Organisation string
	}

	// RetryLimits limits the retries to a service, as this entry's share of the limit
	// for all entries.
	RetryLimits struct {
		// Share is the fraction of a service's requests that may be retried.
		Share float64
		// Allowance is the number of retries allowed in addition per
		// [retry.Window].
		Allowance float64
	}

	// Handler is the HTTP handler for callers' requests. Its fields must not change
	// after the first request.
	Handler struct {
		// Config returns the active configuration, nil if there is none yet.
		Config func() *Config
		// Dispatcher chooses a server for each send.
		Dispatcher *dispatch.Dispatcher
		// Upstream sends requests to servers.
		Upstream *upstream.Client
		// Quarantine blocks requests that crash servers.
		Quarantine *quarantine.List
		// CrashChecks tells servers that have ended from servers out of reach.
		CrashChecks *crashcheck.Checker
		// Relays selects the entries that requests are passed on to if this one can't
		// reach servers; nil to pass none on.
		Relays Relays
		// RelayClient sends requests to other entries.
		RelayClient *upstream.Client
		// RetryLimits returns the current limits on retries.
		RetryLimits func() RetryLimits
		// Leaving reports whether the entry is shutting down, so that callers are
		// asked to close their connections.
		Leaving func() bool
		// EndBy returns the time by which a request that is received now has to end, zero
		// if there is none. Requests whose deadline is later are refused. Nil means none.
		EndBy func() time.Time
		// Fresh reports whether the configuration was the newest one recently enough to
		// accept the keys of organisations; nil means always.
		Fresh func() bool
		// Quota enforces the limits of organisations; nil if they have none.
		Quota Quota
		// Order orders the requests by which are refused first, if the configuration in
		// force holds organisations; nil to refuse at random.
		Order *admitorder.Order
		// Location is where the entry is, for the log; empty if unknown.
		Location Location
		// Headers holds the header names.
		Headers Headers
		// Load extracts the server's load report from the header of an answer; it
		// returns nil if there is none.
		Load func(http.Header) *roster.Load
		// Limit extracts the limit that the server names in the header of an answer, 0
		// if it names none; nil if servers name no limits.
		Limit func(http.Header) (unit.Rate, error)
		// ServerLeaving reports whether the header of an answer says that its server is
		// leaving; nil if servers don't say so.
		ServerLeaving func(http.Header) (bool, error)
		// StayAway extracts the time for which a server that turns a request away wants
		// no others, 0 if it names none; nil if servers name none.
		StayAway func(http.Header) (time.Duration, error)
		// StoreAge returns the staleness of the list of servers: the time since the
		// platform's store last confirmed it.
		StoreAge func() time.Duration
		// Log receives one line per request.
		Log *slog.Logger
		// Metrics receives counters and histograms.
		Metrics *metrics.Set

		budgets   sync.Map // id.Service to *retry.Budget
		baselines sync.Map // baselineKey to *outlier.Baseline
		running   atomic.Int64
		suspects  suspects
		// invalidLogged is the time of the latest log line about an invalid header.
		invalidLogged atomic.Int64
		// organisations limits the label values of the organisations' metrics.
		organisations organisationLabels
	}
)

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := linger.Handler{Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, nil) })}
	l.ServeHTTP(w, r)
}

// serve answers one request. The origin is nil if it came from the caller itself.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, o *relayOrigin) {
	h.running.Add(1)
	defer h.running.Add(-1)
	c := &call{h: h, w: w, r: r, start: pipeline.Arrived(r.Context(), time.Now()), id: r.Header.Get(h.Headers.RequestID), origin: o}
	if o != nil {
		c.sends = o.sends
		h.Metrics.GetOrCreateCounter(`shallotpier_relayed_total{direction="in"}`).Inc()
	}
	defer c.finish()
	if h.Leaving() && pipeline.EndAfter(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	fresh := h.fresh()
	c.config = h.Config()
	if c.config == nil || o != nil && c.config.Version < o.version {
		c.refuse(result.NotReady)
		return
	}
	if c.route = c.config.Routes.Match(r.Host, r.URL.EscapedPath()); c.route == nil {
		c.refuse(result.NoService)
		return
	}
	left, ok := c.timeLeft()
	if !ok {
		c.refuse(result.BadRequest)
		return
	}
	c.deadline = c.start.Add(left)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx, c.sendCtx = ctx, ctx
	if !c.idempotent() {
		// A request that may have started to run is not cancelled when the caller
		// disconnects.
		c.sendCtx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
	}
	if code := c.accept(fresh); code != 0 {
		c.refuse(code)
		return
	}
	if c.quarantined() {
		c.refuse(result.Quarantined)
		return
	}
	c.forward()
}

// accept finds the caller's organisation and reads the body. It returns 0 or the code of the
// refusal. Without a recent configuration no key is looked up: it may be a new one.
func (c *call) accept(fresh bool) result.Code {
	if !fresh && c.needsKey() {
		return result.ConfigurationUnconfirmed
	}
	if code := c.admit(); code != 0 {
		return code
	}
	if code := c.receive(); code != 0 {
		return code
	}
	if c.service == "" {
		c.service = c.pickService()
	}
	return 0
}

// Concurrent reports whether a request may be handled beside others of its connection. Only
// those of read routes may: after the connection has ended, callers send the unanswered ones
// again. During a shutdown none may, so that each answer can be the last of its connection.
func (h *Handler) Concurrent(r *http.Request) bool {
	c := h.Config()
	if c == nil || h.Leaving() {
		return false
	}
	matched := c.Routes.Match(r.Host, r.URL.EscapedPath())
	return matched != nil && matched.Kind == service.Read
}

// receive reads the body unless no server may run the request, or it may outlive the process,
// which is checked again after the body, since its caller may send it slowly. It returns 0 or
// the code of the refusal.
func (c *call) receive() result.Code {
	if c.lacksRegion() {
		return result.NoServer
	}
	if c.mayOutliveEntry() {
		return result.EntryLeaving
	}
	if code := c.readBody(); code != 0 {
		return code
	}
	if c.mayOutliveEntry() {
		return result.EntryLeaving
	}
	return 0
}

// mayOutliveEntry reports whether the request may still run when the process exits.
func (c *call) mayOutliveEntry() bool {
	if c.h.EndBy == nil {
		return false
	}
	end := c.h.EndBy()
	return !end.IsZero() && c.deadline.After(end)
}

// Running returns the number of requests in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

func (h *Handler) budget(svc id.Service) *retry.Budget {
	v, ok := h.budgets.Load(svc)
	if !ok {
		v, _ = h.budgets.LoadOrStore(svc, &retry.Budget{})
	}
	if b, ok := v.(*retry.Budget); ok {
		return b
	}
	return &retry.Budget{}
}

// timeLeft returns the time limit of the request: the caller's deadline or the route's
// timeout, whichever is shorter, and maxDeadline at most. A caller that has already stopped
// waiting has no time left. It returns false if the deadline is no number.
func (c *call) timeLeft() (time.Duration, bool) {
	left := c.route.Timeout
	value := c.r.Header.Get(c.h.Headers.Deadline)
	if value == "" {
		if left == 0 {
			left = defaultDeadline
		}
		return left, true
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(ms) {
		return 0, false
	}
	ms = min(max(ms, 0), float64(maxDeadline/time.Millisecond))
	requested := time.Duration(ms * float64(time.Millisecond))
	if left == 0 || requested < left {
		left = requested
	}
	return left, true
}
