package local

import (
	"context"
	"sync"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/pool"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/internal/slots/split"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Admitter admits requests within a static share of the slots. Its exported
// fields must be set before its first use.
type Admitter struct {
	// Pool allocates the slots of this entry.
	Pool pool.Pool
	// Entries is the number of configured entries.
	Entries int
	// Index is this entry's position among them, counted from 0.
	Index int

	mu    sync.Mutex
	known map[pool.Key]bool
}

// Configure sets the slots from the active service files. A server that is in
// none of them gets no new requests.
func (a *Admitter) Configure(files []*service.File) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := map[pool.Key]bool{}
	for _, f := range files {
		for i := range f.Servers {
			s := &f.Servers[i]
			key := pool.Key{Service: f.Service, Server: s.Name}
			next[key] = true
			a.set(key, s)
		}
	}
	for key := range a.known {
		if !next[key] {
			a.Pool.Gate(key).SetClosed(true)
		}
	}
	a.known = next
}

func (a *Admitter) set(key pool.Key, s *service.Server) {
	g := a.Pool.EnsureGate(key)
	g.SetLimit(min(
		split.Share(s.Name, s.Slots, a.Entries, a.Index),
		split.Share(s.Name, s.Connections, a.Entries, a.Index),
	))
	g.SetEnd(gate.Forever)
	g.SetClosed(s.Leaving)
	a.Pool.Offer(key)
}

// Admit implements admission.Admitter.
func (a *Admitter) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	return a.Pool.Admit(ctx, req)
}
