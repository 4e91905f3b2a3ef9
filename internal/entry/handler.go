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
	"github.com/shallotpier/shallotpier/internal/once"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/lookup"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Paths that a Handler answers.
const (
	// LookupPath is followed by a service's name.
	LookupPath = "/v1/lookup/"
	// TicketPath is followed by a service's name.
	TicketPath = "/v1/ticket/"
	// ServicePath is followed by a service's name and the path within it.
	ServicePath = "/s/"

	waitStep = 20 * time.Millisecond
)

type (
	// Table is a configuration in force. It must not be changed.
	Table struct {
		// Version is the configuration's version.
		Version id.Version
		// Services holds the services by name.
		Services map[id.Service]*service.File
	}

	// Lookup tells which entries a caller should use. It is safe for
	// concurrent use.
	Lookup interface {
		// Entries returns the entries, the best first, and how long they may
		// be used.
		Entries(name id.Service, caller netip.Addr) ([]lookup.Entry, time.Duration)
	}

	// Budget limits what is sent again. It is safe for concurrent use.
	Budget interface {
		// First notes the first send of a request.
		First(now time.Time, file *service.File)
		// Retry tells whether one more send is within the service's budget,
		// and spends it if so.
		Retry(now time.Time, file *service.File) bool
	}

	// Spreader tells the other entries about crashes.
	Spreader interface {
		// Spread returns once every other entry that can be reached knows, or
		// when ctx ends.
		Spread(ctx context.Context, news quarantine.Sighting)
	}

	// Handler answers callers. Its fields must not change after the first
	// request.
	Handler struct {
		// Instance is the entry's name.
		Instance id.Instance
		// Incarnation is that of the entry's process.
		Incarnation id.Incarnation
		// Started is when the process started, with a monotonic clock reading.
		Started time.Time
		// Table returns the configuration in force, nil if there is none yet.
		Table func() *Table
		// Leaving tells whether the entry must not begin anything new; nil is
		// never. Resends of once-only requests still get their outcome.
		Leaving func() bool
		// Admitter permits sends.
		Admitter admission.Admitter
		// Backend sends.
		Backend *backend.Client
		// Lookup answers look-ups.
		Lookup Lookup
		// Once executes once-only requests.
		Once *once.Registry
		// Entry returns the callers' address of another entry, for handing a
		// once-only request on; nil hands nothing on.
		Entry func(id.Instance) (netip.AddrPort, bool)
		// Quarantine keeps crashing requests away.
		Quarantine *quarantine.List
		// Spread tells other entries about crashes; nil tells nobody.
		Spread Spreader
		// Budget limits what is sent again; nil sends nothing again.
		Budget Budget
		// CallerSilence is how long a caller may send nothing of a body that
		// it has begun, or take nothing of its answer; 0 is 90 s.
		CallerSilence time.Duration
		// Log gets one line for each request.
		Log *slog.Logger
		// Metrics gets the histograms.
		Metrics *metrics.Set

		sends   atomic.Uint64
		observe observer
		running atomic.Int64
	}
)

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, started: time.Now(), ctx: r.Context(), spreads: new(sync.WaitGroup)}
	defer c.finish()
	c.id = requestID(r.Header.Get(result.HeaderRequestID))
	if c.id == "" {
		c.id = h.sendID()
	}
	path := r.URL.Path
	c.table = h.Table()
	switch {
	case !checkRequest(r):
		c.refuse(result.BadRequest, 0)
	case c.table == nil, behind(r, c.table):
		c.refuse(result.NotReady, time.Second)
	case strings.HasPrefix(path, ServicePath):
		c.request(path[len(ServicePath):])
	case strings.HasPrefix(path, LookupPath) && r.Method == http.MethodGet:
		c.lookup(path[len(LookupPath):])
	case strings.HasPrefix(path, TicketPath) && r.Method == http.MethodPost:
		c.ticket(path[len(TicketPath):])
	default:
		c.refuse(result.NoService, 0)
	}
}

// Wait returns when no send or execution is under way, those included whose
// caller has gone, or when ctx ends.
func (h *Handler) Wait(ctx context.Context) error {
	t := time.NewTicker(waitStep)
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
