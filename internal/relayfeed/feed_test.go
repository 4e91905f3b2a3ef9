package relayfeed_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
)

// reads returns the calls to the store of all entries.
func (d *deployment) reads() (all, lists int64) {
	for _, m := range d.entries {
		all += m.reads.Load()
		lists += m.lists.Load()
	}
	return all, lists
}

// Calls to the store must not grow with the number of entries times that of changes.
func TestStoreCalls(t *testing.T) {
	tests := map[string]struct{ entries, zones int }{
		"one zone of 7":  {7, 1},
		"zones of two":   {8, 4},
		"33 in 6 zones":  {33, 6},
		"89 in 6 zones":  {89, 6},
		"300 in 6 zones": {300, 6}, // without the comparison, which takes a minute
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, direct := range []bool{true, false} {
				changes := 30
				if tt.entries == 300 {
					changes = 6
				}
				if direct && tt.entries == 300 {
					continue
				}
				// On all threads, since hundreds of entries take long on one under the race detector.
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					ctx, cancel := context.WithCancel(t.Context())
					d := newDeployment(t, tt.entries, tt.zones)
					for _, m := range d.entries {
						m.direct = direct
					}
					d.start(ctx)
					before, listsBefore := d.reads()
					began := time.Now()
					for i := range changes {
						d.store.Advance()
						d.store.Put(fmt.Sprintf("s-%d", i%20), fmt.Sprint(i))
						time.Sleep(d.random(1500 * time.Millisecond))
					}
					time.Sleep(drainBound)
					reads, lists := d.reads()
					t.Logf("direct %v: %d calls, %d lists of them, in %v with %d changes", direct, reads-before, lists-listsBefore, time.Since(began), changes)
					for _, m := range d.entries {
						is.Equal(m.has(fmt.Sprintf("s-%d", (changes-1)%20)), fmt.Sprint(changes-1))
					}
					if !direct {
						readers := min(2*tt.zones+shortPolls, tt.entries)
						is.True(reads-before <= int64(readers*(changes+15)))
					}
					cancel()
					time.Sleep(time.Second) // ends calls in progress
					synctest.Wait()
				})
			}
		})
	}
}

// A change must be applied within the time of a drain, whatever has happened to the entries
// through which others follow the store.
func TestFaults(t *testing.T) {
	leaders := func(d *deployment) (out []*member) {
		for _, m := range d.entries {
			if m.self.Zone == "z-1" && m.isLeader() {
				out = append(out, m)
			}
		}
		return out
	}
	running := func(m *member) bool { return m.running() && !m.paused.Load() }
	type test struct {
		// fault begins a fault and returns its end, which may be nil.
		fault func(ctx context.Context, d *deployment) func()
		// expects reports whether an entry has a path to the store. Nil means all that run.
		expects func(m *member) bool
	}
	tests := map[string]test{
		"no fault":      {fault: func(context.Context, *deployment) func() { return nil }},
		"leader killed": {fault: func(_ context.Context, d *deployment) func() { leaders(d)[0].stop(); return nil }},
		"both leaders killed": {fault: func(_ context.Context, d *deployment) func() {
			leaders(d)[0].stop()
			leaders(d)[1].stop()
			return nil
		}},
		"leader paused": {fault: func(_ context.Context, d *deployment) func() {
			leaders(d)[0].paused.Store(true)
			return func() { leaders(d)[0].paused.Store(false) }
		}},
		"both leaders paused": {fault: func(_ context.Context, d *deployment) func() {
			for _, m := range leaders(d) {
				m.paused.Store(true)
			}
			return func() {
				for _, m := range leaders(d) {
					m.paused.Store(false)
				}
			}
		}},
		"follower paused": {fault: func(_ context.Context, d *deployment) func() {
			m := d.entries[len(d.entries)-1]
			m.paused.Store(true)
			return func() { m.paused.Store(false) }
		}},
		"leaders' connections to the store silent": {
			fault: func(_ context.Context, d *deployment) func() {
				for _, m := range leaders(d) {
					m.setFault(feed.Fault{Stalled: true})
				}
				return func() {
					for _, m := range leaders(d) {
						m.setFault(feed.Fault{})
					}
				}
			},
			expects: func(m *member) bool { return m.self.Zone != "z-1" || !m.isLeader() },
		},
		"leaders refused by the store": {
			fault: func(_ context.Context, d *deployment) func() {
				for _, m := range leaders(d) {
					m.setFault(feed.Fault{Unavailable: true})
				}
				return func() {
					for _, m := range leaders(d) {
						m.setFault(feed.Fault{})
					}
				}
			},
			expects: func(m *member) bool { return m.self.Zone != "z-1" || !m.isLeader() },
		},
		"followers refused by the store": {
			fault: func(_ context.Context, d *deployment) func() {
				set := func(f feed.Fault) {
					for _, m := range d.entries {
						if !m.isLeader() {
							m.setFault(f)
						}
					}
				}
				set(feed.Fault{Unavailable: true})
				return func() { set(feed.Fault{}) }
			},
			// A short-poll entry has no path but its own.
			expects: func(m *member) bool { return m.isLeader() || !m.shortPolls() },
		},
		"leaders cut off from followers": {fault: func(_ context.Context, d *deployment) func() {
			d.setCut(func(a, b *member) bool {
				return a.self.Zone == "z-1" && b.self.Zone == "z-1" && a.isLeader() && !b.isLeader()
			})
			return func() { d.setCut(nil) }
		}},
		"zone cut off from the others": {fault: func(_ context.Context, d *deployment) func() {
			d.setCut(func(a, b *member) bool { return (a.self.Zone == "z-1") != (b.self.Zone == "z-1") })
			return func() { d.setCut(nil) }
		}},
		"leaders restarted": {fault: func(ctx context.Context, d *deployment) func() {
			for _, m := range leaders(d) {
				m.stop()
			}
			time.Sleep(300 * time.Millisecond)
			for _, m := range leaders(d) {
				m.start(ctx)
			}
			return nil
		}},
		"store slow for leaders": {fault: func(_ context.Context, d *deployment) func() {
			for _, m := range leaders(d) {
				m.setFault(feed.Fault{Delay: 600 * time.Millisecond})
			}
			return func() {
				for _, m := range leaders(d) {
					m.setFault(feed.Fault{})
				}
			}
		}},
		"leaders of an older build": {fault: func(ctx context.Context, d *deployment) func() {
			for _, m := range leaders(d) {
				m.stop()
				m.oldBuild.Store(true)
				m.start(ctx)
			}
			return nil
		}},
		"store compacted": {fault: func(_ context.Context, d *deployment) func() { d.store.Compact(); return nil }},
		"store restored": {fault: func(_ context.Context, d *deployment) func() {
			old := d.store.Copy()
			d.store.Put("s-1", "lost")
			time.Sleep(2 * time.Second)
			d.store.Restore(old)
			return nil
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				d := newDeployment(t, 33, 6)
				d.start(ctx)
				before, listsBefore := d.reads()
				end, longest := func() {}, time.Duration(0)
				for i := range 24 {
					switch i {
					case 2:
						if f := tt.fault(ctx, d); f != nil {
							end = f
						}
					case 14:
						end()
					}
					time.Sleep(d.random(800 * time.Millisecond))
					value := fmt.Sprint(i)
					d.store.Advance()
					d.store.Put("s-2", value)
					longest = max(longest, d.await(value, func(m *member) bool {
						return running(m) && (i < 2 || tt.expects == nil || tt.expects(m))
					}))
				}
				is.True(longest <= drainBound)
				time.Sleep(10 * time.Second)
				for _, m := range d.entries {
					is.True(!m.running() || m.has("s-2") == "23")
				}
				reads, lists := d.reads()
				t.Logf("longest %v, %d calls, %d lists of them", longest, reads-before, lists-listsBefore)
				cancel()
				time.Sleep(time.Second) // ends calls in progress
				synctest.Wait()
			})
		})
	}
}

// await returns how long the expected entries need for a value, at most 5 s.
func (d *deployment) await(value string, expects func(*member) bool) time.Duration {
	began := time.Now()
	for time.Since(began) < 5*time.Second {
		missing := false
		for _, m := range d.entries {
			if expects(m) && m.has("s-2") != value {
				missing = true
				break
			}
		}
		if !missing {
			return time.Since(began)
		}
		time.Sleep(pollInterval)
	}
	for _, m := range d.entries {
		if expects(m) && m.has("s-2") != value {
			d.t.Logf("%s has %s instead of %s, source %+v", m.self.Instance, m.has("s-2"), value, m.process.Load().feed.Origin())
		}
	}
	return time.Since(began)
}
