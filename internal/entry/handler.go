package entry

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/linger"
	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Paths that a Handler serves.
const (
	// LookupPath is followed by a service's name.
	LookupPath = "/v1/lookup/"
	// TicketPath is followed by a service's name.
	TicketPath = "/v1/ticket/"
	// ServicePath is followed by a service's name and the path within it.
	ServicePath = "/s/"

	waitInterval = 20 * time.Millisecond
)

type (
	// Table is an active configuration. It must not be modified.
	Table struct {
		// Version is the configuration's version.
		Version id.Version
		// Services holds the services by name.
		Services map[id.Service]*service.File
	}

	// Lookup selects the entries that a caller should use. It is safe for
	// concurrent use.
	Lookup interface {
		// Entries returns the entries, best first, and how long the caller may
		// use them.
		Entries(name id.Service, caller netip.Addr) ([]lookup.Entry, time.Duration)
	}

	// Budget limits retries. It is safe for concurrent use.
	Budget interface {
		// CountFirst counts the first send of a request.
		CountFirst(now time.Time, file *service.File)
		// TakeRetry reports whether a retry is within the service's budget, and
		// if so takes it from the budget.
		TakeRetry(now time.Time, file *service.File) bool
	}

	// CrashReporter sends crash reports to the other entries.
	CrashReporter interface {
		// Broadcast returns once every reachable entry has received the
		// report, or when ctx ends.
		Broadcast(ctx context.Context, report quarantine.CrashReport)
	}

	// Handler serves callers. Its fields must not change after the first
	// request.
	Handler struct {
		// Instance is the entry's name.
		Instance id.Instance
		// Incarnation is the incarnation of the entry's process.
		Incarnation id.Incarnation
		// Started is when the process started, with a monotonic clock reading.
		Started time.Time
		// Table returns the active configuration, nil if there is none yet.
		Table func() *Table
		// Leaving reports whether the entry is shutting down and must not
		// accept new requests; nil means never. Retries of at-most-once
		// requests still get their outcome.
		Leaving func() bool
		// Admitter issues the permits for sends.
		Admitter admission.Admitter
		// Backend sends requests to backend servers and other entries.
		Backend *backend.Client
		// Lookup answers lookups.
		Lookup Lookup
		// Once issues tickets and keeps the outcomes of at-most-once requests.
		Once *once.Registry
		// EntryAddress returns the address of another entry's listener for
		// callers, to which at-most-once requests are forwarded; nil disables
		// forwarding.
		EntryAddress func(id.Instance) (netip.AddrPort, bool)
		// Quarantine rejects requests that crash backend servers; nil rejects
		// none.
		Quarantine *quarantine.List
		// CrashReporter sends crash reports to the other entries; nil sends
		// none.
		CrashReporter CrashReporter
		// Budget limits retries; nil disables them.
		Budget Budget
		// CallerIdleTimeout is how long a caller may send no byte of its body,
		// or read no byte of the response; 0 means 90 s.
		CallerIdleTimeout time.Duration
		// Log receives one line per request; nil logs nothing.
		Log *slog.Logger
		// Metrics receives the counters and histograms; nil keeps none.
		Metrics *metrics.Set

		sends       atomic.Uint64
		instruments instruments
		running     atomic.Int64
	}
)

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := linger.Handler{Next: http.HandlerFunc(h.serve)}
	l.ServeHTTP(w, r)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, started: time.Now(), ctx: r.Context(), broadcasts: new(sync.WaitGroup)}
	defer c.finish()
	c.id = validRequestID(r.Header.Get(result.HeaderRequestID))
	if c.id == "" {
		c.id = h.sendID()
	}
	path := r.URL.Path
	c.table = h.Table()
	switch {
	case !isValidRequest(r):
		c.writeError(result.BadRequest, 0)
	case c.table == nil, isBehindCaller(r, c.table):
		c.writeError(result.NotReady, time.Second)
	case strings.HasPrefix(path, ServicePath):
		c.request(path[len(ServicePath):])
	case strings.HasPrefix(path, LookupPath) && r.Method == http.MethodGet:
		c.lookup(path[len(LookupPath):])
	case strings.HasPrefix(path, TicketPath) && r.Method == http.MethodPost:
		c.ticket(path[len(TicketPath):])
	default:
		c.writeError(result.NoService, 0)
	}
}

// Wait returns when no send or execution is in progress, including those whose
// caller has disconnected, or when ctx ends.
func (h *Handler) Wait(ctx context.Context) error {
	t := time.NewTicker(waitInterval)
	defer t.Stop()
	for h.running.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (h *Handler) leaving() bool { return h.Leaving != nil && h.Leaving() }

// age returns the age of the entry's incarnation.
func (h *Handler) age() time.Duration { return time.Since(h.Started) }
