package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	minRetryAfter = time.Second
	// meanWeight is the inverse weight of a new value in the moving average
	// of the time for which slots are held.
	meanWeight = 16
	cacheLine  = 64 // bytes
)

type (
	// Key identifies a backend server.
	Key struct {
		// Service is the service that the server belongs to.
		Service id.Service
		// Server is the name of the server within the service.
		Server id.Server
	}

	// Pool allocates the slots of one entry. Its exported fields must be set
	// before its first use. It is safe for concurrent use and must not be
	// copied.
	Pool struct {
		// Order returns the servers that may run a request, most preferred
		// first.
		Order func(*admission.Request) []*service.Server
		// MaxWaiting is the maximum number of queued requests of one service.
		MaxWaiting int
		// OnWait, if set, is called when a request has joined the queue, so
		// that more slots can be requested and added with Offer.
		OnWait func(*admission.Request)

		once  sync.Once
		start time.Time
		mu    sync.Mutex
		table atomic.Pointer[table]
	}

	table struct {
		gates  map[Key]*gate.Gate
		queues map[id.Service]*queue
	}
)

// Now returns the current time on the clock of the pool's gates.
func (p *Pool) Now() time.Duration { return p.At(time.Now()) }

// At converts t to the clock of the pool's gates.
func (p *Pool) At(t time.Time) time.Duration {
	p.once.Do(func() { p.start = time.Now().Add(-time.Second) })
	return t.Sub(p.start)
}

// EnsureGate returns the gate of a server, creating it if there is none.
func (p *Pool) EnsureGate(key Key) *gate.Gate {
	if g := p.Gate(key); g != nil {
		return g
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := table{gates: map[Key]*gate.Gate{}, queues: map[id.Service]*queue{}}
	if old := p.table.Load(); old != nil {
		if g := old.gates[key]; g != nil {
			return g
		}
		maps.Copy(next.gates, old.gates)
		maps.Copy(next.queues, old.queues)
	}
	g := new(gate.Gate)
	next.gates[key] = g
	if next.queues[key.Service] == nil {
		next.queues[key.Service] = new(queue)
	}
	p.table.Store(&next)
	return g
}

// Gate returns the gate of a server, nil if there is none.
func (p *Pool) Gate(key Key) *gate.Gate {
	t := p.table.Load()
	if t == nil {
		return nil
	}
	return t.gates[key]
}

// Waiting returns the number of queued requests of a service.
func (p *Pool) Waiting(svc id.Service) int {
	q := p.queue(svc)
	if q == nil {
		return 0
	}
	return int(q.waiting.Load())
}

// Offer assigns free slots of a server to queued requests. It must be called
// after the limit of a gate has been raised.
func (p *Pool) Offer(key Key) {
	q, g := p.queue(key.Service), p.Gate(key)
	if q != nil && g != nil {
		q.offer(p, key.Server, g)
	}
}

// Admit implements admission.Admitter.
func (p *Pool) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	now := time.Now()
	if !now.Before(req.Deadline) {
		return nil, &admission.RefusedError{Code: result.DeadlinePassed, RetryAfter: minRetryAfter}
	}
	q, servers := p.queue(req.Service.Service), p.Order(req)
	if q == nil || !anyUsable(servers, req.Tried) {
		return nil, &admission.RefusedError{Code: result.NoServer, RetryAfter: minRetryAfter}
	}
	if q.waiting.Load() == 0 {
		if s, g := p.acquire(req, servers, p.At(now)); s != nil {
			return &permit{pool: p, queue: q, gate: g, server: s, acquired: now}, nil
		}
	}
	return p.wait(ctx, req, q, servers)
}

// acquire acquires a slot of the first usable server that has a free one. It
// returns nil if there is none.
func (p *Pool) acquire(req *admission.Request, servers []*service.Server, now time.Duration) (*service.Server, *gate.Gate) {
	t := p.table.Load()
	for _, s := range servers {
		if !usable(s, req.Tried) {
			continue
		}
		g := t.gates[Key{Service: req.Service.Service, Server: s.Name}]
		if g != nil && g.Acquire(now) {
			return s, g
		}
	}
	return nil, nil
}

// wait queues a request until it gets a slot or ctx is done, or until the time
// left before its deadline is shorter than the mean time for which slots are
// held.
func (p *Pool) wait(ctx context.Context, req *admission.Request, q *queue, servers []*service.Server) (admission.Permit, error) {
	limit := req.Deadline.Add(-q.meanHoldTime())
	if wait, ok := p.estimateWait(req, q, servers); !ok || time.Now().Add(wait).After(limit) {
		return nil, refusal(wait)
	}
	w := &waiter{req: req, servers: servers, ready: make(chan *permit, 1)}
	if !q.enqueue(p, w) {
		return nil, refusal(q.meanHoldTime())
	}
	if p.OnWait != nil {
		p.OnWait(req)
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case got := <-w.ready:
		return got, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !q.cancel(w) {
		return <-w.ready, nil
	}
	return nil, refusal(q.meanHoldTime())
}

// estimateWait estimates how long a request has to wait for a slot. It returns
// false if no server that may run the request has slots, and none can be
// requested.
func (p *Pool) estimateWait(req *admission.Request, q *queue, servers []*service.Server) (time.Duration, bool) {
	limit, candidates := 0, 0
	for _, s := range servers {
		if !usable(s, req.Tried) {
			continue
		}
		if g := p.Gate(Key{Service: req.Service.Service, Server: s.Name}); g != nil {
			n, _ := g.Load()
			limit += n
			candidates++
		}
	}
	if p.OnWait != nil { // at least one slot per candidate can be requested
		limit = max(limit, candidates)
	}
	if limit == 0 {
		return 0, false
	}
	return q.meanHoldTime() * time.Duration(q.waiting.Load()) / time.Duration(limit), true
}

func (p *Pool) queue(svc id.Service) *queue {
	t := p.table.Load()
	if t == nil {
		return nil
	}
	return t.queues[svc]
}

func refusal(wait time.Duration) error {
	return &admission.RefusedError{Code: result.NoCapacity, RetryAfter: max(wait, minRetryAfter)}
}

func usable(s *service.Server, tried []id.Server) bool {
	return !s.Leaving && !slices.Contains(tried, s.Name)
}

func anyUsable(servers []*service.Server, tried []id.Server) bool {
	for _, s := range servers {
		if usable(s, tried) {
			return true
		}
	}
	return false
}
