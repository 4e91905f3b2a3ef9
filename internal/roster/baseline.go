package roster

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shallotpier/shallotpier/internal/pace"
)

const (
	// baselineWeight is the weight of one answer in the averages of a baseline: they
	// cover about the last twenty answers, which an entry gets within a fraction of a
	// second under load.
	baselineWeight = 0.05
	// baselineHalfLife is the half-life of a baseline's load while no answers arrive,
	// so that an entry that refuses all requests tries again.
	baselineHalfLife = 500 * time.Millisecond
)

// baseline holds the mean work per request and the mean load over all servers of a
// service. It is the estimate for a server without recent reports: in deployments
// with many entries and servers, an entry gets an answer from each server only now
// and then. The zero baseline has no data.
type baseline struct {
	mu   sync.Mutex
	work float64 // seconds that a request occupies a slot at the usual pace
	load float64 // requests of other entries per slot
	at   time.Time
	pace pace.Service
	// paced is set while servers of the service report their pace.
	paced atomic.Bool
}

// observe records the load per slot that a server reported for the other entries.
func (b *baseline) observe(now time.Time, load float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at.IsZero() {
		b.load = load
	}
	b.load += baselineWeight * (load - b.load)
	b.at = now
}

// answered records the latency of an answer from a server with the given load per
// slot.
func (b *baseline) answered(latency time.Duration, load float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The latency includes queueing: a server with more requests than slots needs
	// load times the work per request.
	work := latency.Seconds() / max(load, 1)
	if b.work == 0 {
		b.work = work
	}
	b.work += baselineWeight * (work - b.work)
}

// expected returns the expected latency at the given load per slot, 0 if unknown.
func (b *baseline) expected(load float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.work * max(load, 1) * float64(time.Second))
}

// mean returns the mean load of other entries per slot, and the mean time that a
// request occupies a slot.
func (b *baseline) mean(now time.Time) (load float64, work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	work = time.Duration(b.work * float64(time.Second))
	if b.load > 0 {
		load = b.load * math.Exp2(-float64(now.Sub(b.at))/float64(baselineHalfLife))
	}
	return load, work
}
