package pool

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/slots/gate"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

type (
	// queue is the queue of the requests of one service that wait for a slot.
	queue struct {
		waiting atomic.Int32
		// Every request reads waiting and writes meanHold. The padding keeps
		// them on different cache lines.
		_        [cacheLine]byte
		meanHold atomic.Int64
		_        [cacheLine]byte

		mu      sync.Mutex
		waiters []*waiter
	}

	waiter struct {
		req     *admission.Request
		servers []*service.Server
		ready   chan *permit
	}

	permit struct {
		pool     *Pool
		queue    *queue
		gate     *gate.Gate
		server   *service.Server
		acquired time.Time
		released atomic.Bool
	}
)

// enqueue appends a waiter, or assigns it a slot if one became free since the
// caller's last attempt. It returns false if the queue is full.
func (q *queue) enqueue(p *Pool, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= p.MaxWaiting {
		return false
	}
	q.waiters = append(q.waiters, w)
	q.waiting.Add(1)
	if s, g := p.acquire(w.req, w.servers, p.Now()); s != nil {
		q.remove(len(q.waiters) - 1)
		w.ready <- &permit{pool: p, queue: q, gate: g, server: s, acquired: time.Now()}
	}
	return true
}

// cancel removes a waiter. It returns false if the waiter already has a slot.
func (q *queue) cancel(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// offer assigns free slots of a server to the waiters that may use them.
func (q *queue) offer(p *Pool, server id.Server, g *gate.Gate) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := 0; i < len(q.waiters); {
		w := q.waiters[i]
		s := w.usableServer(server)
		if s == nil {
			i++
			continue
		}
		if !g.Acquire(p.Now()) {
			return
		}
		q.remove(i)
		w.ready <- &permit{pool: p, queue: q, gate: g, server: s, acquired: time.Now()}
	}
}

func (q *queue) remove(i int) {
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.waiting.Add(-1)
}

// meanHoldTime returns the exponentially weighted mean of the time for which a
// slot is held.
func (q *queue) meanHoldTime() time.Duration { return time.Duration(q.meanHold.Load()) }

func (q *queue) observe(held time.Duration) {
	mean := q.meanHold.Load()
	q.meanHold.Store(mean + (int64(held)-mean)/meanWeight)
}

func (w *waiter) usableServer(server id.Server) *service.Server {
	for _, s := range w.servers {
		if s.Name == server && usable(s, w.req.Tried) {
			return s
		}
	}
	return nil
}

// Server implements admission.Permit.
func (p *permit) Server() *service.Server { return p.server }

// Release implements admission.Permit.
func (p *permit) Release(out admission.Outcome) {
	if !p.released.CompareAndSwap(false, true) {
		return
	}
	if !out.RunningUntil.IsZero() {
		if wait := time.Until(out.RunningUntil); wait > 0 {
			time.AfterFunc(wait, p.free)
			return
		}
	}
	p.free()
}

func (p *permit) free() {
	p.queue.observe(time.Since(p.acquired))
	p.gate.Release()
	p.queue.offer(p.pool, p.server.Name, p.gate)
}
