package relayfeed_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
)

// stableBound is the time after the end of all faults within which an entry must have the
// state of the store.
const stableBound = 4 * time.Second

// disturb begins a random fault and returns its end.
func (d *deployment) disturb(ctx context.Context) (string, func()) {
	m := d.entries[d.rng.IntN(len(d.entries))]
	other := d.entries[d.rng.IntN(len(d.entries))]
	name := string(m.self.Instance)
	switch d.rng.IntN(8) {
	case 0:
		m.paused.Store(true)
		return "pause of " + name, func() { m.paused.Store(false) }
	case 1:
		m.setFault(feed.Fault{Unavailable: true})
		return "store refuses " + name, func() { m.setFault(feed.Fault{}) }
	case 2:
		m.setFault(feed.Fault{Stalled: true})
		return "store silent for " + name, func() { m.setFault(feed.Fault{}) }
	case 3:
		m.setFault(feed.Fault{Delay: 600 * time.Millisecond})
		return "store slow for " + name, func() { m.setFault(feed.Fault{}) }
	case 4:
		d.setCut(func(a, b *member) bool { return a == m && b == other })
		return name + " cut off from " + string(other.self.Instance), func() { d.setCut(nil) }
	case 5:
		m.stop()
		return "stop of " + name, func() { m.start(ctx) }
	case 6:
		d.store.SetUnavailable(true)
		return "store away", func() { d.store.SetUnavailable(false) }
	default:
		old := d.store.Copy()
		return "restore", func() { d.store.Restore(old) }
	}
}

// changeAny changes or removes an object.
func (d *deployment) changeAny(i int) {
	key := fmt.Sprintf("s-%d", d.rng.IntN(12))
	if d.rng.IntN(3) == 0 {
		d.store.Remove(key)
		return
	}
	d.store.Put(key, fmt.Sprint(i))
	if d.rng.IntN(4) == 0 {
		d.store.Advance()
	}
}

// differing returns an entry whose state isn't that of the store, empty if there is none.
func (d *deployment) differing() string {
	want := d.store.Values()
	for _, m := range d.entries {
		if !maps.Equal(m.applied(), want) {
			return fmt.Sprintf("%s, which reads from %q", m.self.Instance, m.process.Load().feed.Origin().Entry)
		}
	}
	return ""
}

// Whatever faults and changes come together, all entries must have the store's state soon
// after the faults: an entry that lacks a removal would use a server that is gone.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := newDeployment(t, 10, 2)
				d.rng = rand.New(rand.NewPCG(seed, 1))
				d.start(ctx)
				for round := range 12 {
					var faults []string
					var ends []func()
					for range 1 + d.rng.IntN(2) {
						fault, end := d.disturb(ctx)
						faults, ends = append(faults, fault), append(ends, end)
						for i := range d.rng.IntN(6) {
							time.Sleep(d.random(700 * time.Millisecond))
							d.changeAny(100*round + i)
						}
					}
					for _, end := range slices.Backward(ends) {
						end()
					}
					d.changeAny(round)
					began := time.Now()
					for d.differing() != "" && time.Since(began) <= stableBound {
						time.Sleep(pollInterval)
					}
					if e := d.differing(); e != "" {
						t.Errorf("round %d after %q: %s still differs from the store", round, faults, e)
					}
					time.Sleep(d.random(5 * time.Second))
				}
				cancel()
				time.Sleep(time.Second) // ends calls in progress
				synctest.Wait()
			})
		})
	}
}
