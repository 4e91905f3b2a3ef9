// Package forward carries callers' requests to backend servers by the routes of
// the configuration in force.
//
// Each request goes through the same steps: its route is matched, its body is
// read up to a bound, a server is chosen, the request is sent, and its answer is
// checked and passed on. A request is sent again only if it provably did not run,
// or if its route allows it to run twice, and within the route's attempts and the
// service's budget of resends.
//
// A refusal with status 503 says that the request did not run and never will,
// and when to come back. Once a request that must not run twice may have begun,
// it ends with the server's answer, 502 or 504.
//
// # Usage
//
//	h := &forward.Handler{
//		Config: current.Load, Dispatcher: &dispatch.Dispatcher{Roster: r},
//		Upstream: client, Headers: names, Log: log, Metrics: set,
//	}
//	http.Serve(listener, h)
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/retry"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
)

type (
	// Config is a configuration in force. It must not be changed.
	Config struct {
		// Version is its version.
		Version id.Version `json:"version"`
		// Routes finds routes.
		Routes *route.Table `json:"routes"`
		// MaxBody is the longest body of a request in bytes; 0 is no bound.
		MaxBody int64 `json:"maxBody"`
	}

	// Headers names the headers that callers, entries and servers exchange.
	Headers struct {
		// RequestID holds the id of one attempt of a caller.
		RequestID string
		// Deadline holds the milliseconds that the request may still take.
		Deadline string
		// Object is the cookie that names the object of a request.
		Object string
		// Expect names the server that a request is meant for.
		Expect string
		// NotRun marks an answer to a request that the server did not run.
		NotRun string
		// Signature marks the answers that servers made.
		Signature string
	}

	// Resends bounds what is sent again to a service, as this entry's part of
	// what all entries may.
	Resends struct {
		// Share is the part of a service's requests that may be sent again.
		Share float64
		// Allowance is how many more may be, in retry.Window.
		Allowance float64
	}

	// Handler answers callers. Its fields must not change after the first
	// request.
	Handler struct {
		// Config returns the configuration in force, nil if there is none yet.
		Config func() *Config
		// Dispatcher chooses servers.
		Dispatcher *dispatch.Dispatcher
		// Upstream sends.
		Upstream *upstream.Client
		// Quarantine keeps requests away that crash servers.
		Quarantine *quarantine.List
		// Resends returns the bound on what is sent again.
		Resends func() Resends
		// Leaving tells whether callers are asked to close their connections.
		Leaving func() bool
		// Headers names the headers.
		Headers Headers
		// Load returns what a server's answer says of its load, nil if nothing.
		Load func(http.Header) *roster.Load
		// StoreAge returns how long ago the platform's store said which servers
		// there are.
		StoreAge func() time.Duration
		// Log gets one line for each request.
		Log *slog.Logger
		// Metrics gets counters and histograms.
		Metrics *metrics.Set

		budgets   sync.Map // id.Service to *retry.Budget
		baselines sync.Map // baselineKey to *outlier.Baseline
		running   atomic.Int64
	}
)

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	c := &call{h: h, w: w, r: r, began: time.Now(), id: r.Header.Get(h.Headers.RequestID)}
	defer c.finish()
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if c.config = h.Config(); c.config == nil {
		c.refuse(result.NotReady)
		return
	}
	if c.route = c.config.Routes.Match(r.Host, r.URL.Path); c.route == nil {
		c.refuse(result.NoService)
		return
	}
	left, ok := c.timeLeft()
	if !ok {
		c.refuse(result.BadRequest)
		return
	}
	c.deadline = c.began.Add(left)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx, c.sending = ctx, ctx
	if !c.repeatable() {
		// What may have begun to run is not broken off when the caller leaves.
		c.sending, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
	}
	if code := c.readBody(); code != 0 {
		c.refuse(code)
		return
	}
	c.service = c.pickService()
	if h.Quarantine.Watching() {
		if v := h.Quarantine.Check(c.began, c.fingerprint()); v.Refused {
			c.after = v.RetryAfter
			c.refuse(result.Quarantined)
			return
		}
	}
	c.carry()
}

// Running returns how many requests are under way.
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

// timeLeft returns how long the request may take: the caller's deadline or the
// route's timeout, whichever is sooner.
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
	if err != nil || !(ms >= 0) || ms > float64(maxDeadline/time.Millisecond) {
		return 0, false
	}
	asked := time.Duration(ms * float64(time.Millisecond))
	if left == 0 || asked < left {
		left = asked
	}
	return left, true
}
