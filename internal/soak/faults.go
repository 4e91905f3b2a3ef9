package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

// gapTime is the longest pause between the beginnings of two faults; some last
// longer, so that they overlap.
const gapTime = 900 * time.Millisecond

// fault is one kind of trouble. It returns when it is over.
type fault func(ctx context.Context, s *soak, d draw)

// draw is what was drawn for one fault.
type draw struct {
	entry  *process
	server *backend
	length time.Duration
	part   float64
}

// enabledShare is the part of the kinds that a run injects. Leaving some out lets
// the others show what they would hide, as an outage of the store hides that a
// leaving server still gets requests.
const enabledShare = 0.35

// kinds draws the faults of a run.
func (s *soak) kinds() []fault {
	all := []fault{
		killEntry, stopEntry, pauseEntry, reloadEntry, silenceStore, cutStore, resetStore, failStore, compactStore,
		crashServer, leaveServer, slowServer, loseAnswers, refuseRequests, silenceServer, delayServer, changeConfig,
		changeConfig, evacuateZone,
	}
	var enabled []fault
	for len(enabled) == 0 {
		for _, f := range all {
			if s.rng.Float64() < enabledShare {
				enabled = append(enabled, f)
			}
		}
	}
	return enabled
}

// inject injects faults for the run's length and returns when all are over.
func (s *soak) inject(ctx context.Context) {
	all := s.kinds()
	var wg sync.WaitGroup
	for end := time.Now().Add(s.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		f := all[s.rng.IntN(len(all))]
		d := draw{
			entry: s.entries[s.rng.IntN(len(s.entries))], server: s.servers[s.rng.IntN(len(s.servers))],
			length: time.Duration(0.3e9 + s.rng.Int64N(2.5e9)), part: 0.2 + 0.6*s.rng.Float64(),
		}
		gap := time.Duration(s.rng.Int64N(int64(gapTime)))
		wg.Go(func() { f(ctx, s, d) })
		sleep(ctx, gap)
	}
	wg.Wait()
}

func killEntry(ctx context.Context, s *soak, d draw) {
	s.note("%s killed for %v", d.entry.name, d.length)
	d.entry.disturbed.add(time.Now().Add(d.length + startTime))
	d.entry.kill()
	sleep(ctx, d.length)
	s.restart(d.entry)
}

func stopEntry(_ context.Context, s *soak, d draw) {
	s.note("%s stopped", d.entry.name)
	d.entry.stop()
	s.restart(d.entry)
}

// restart starts an entry again, unless another fault did.
func (s *soak) restart(e *process) {
	e.restarting.Lock()
	defer e.restarting.Unlock()
	if !e.hasExited() {
		return
	}
	e.disturbed.add(time.Now().Add(time.Second))
	if err := e.begin(); err != nil {
		s.note("%s not started: %v", e.name, err)
	}
}

func pauseEntry(ctx context.Context, s *soak, d draw) {
	s.note("%s paused for %v", d.entry.name, d.length)
	d.entry.disturbed.add(time.Now().Add(d.length))
	d.entry.signal(syscall.SIGSTOP)
	sleep(ctx, d.length)
	d.entry.signal(syscall.SIGCONT)
	d.entry.disturbed.add(time.Now())
}

func reloadEntry(_ context.Context, s *soak, d draw) {
	s.note("%s told to reload", d.entry.name)
	d.entry.signal(syscall.SIGHUP)
}

func silenceStore(ctx context.Context, s *soak, d draw) { s.disturbPath(ctx, d, silent) }

func cutStore(ctx context.Context, s *soak, d draw) { s.disturbPath(ctx, d, cutBack) }

// disturbPath holds up the bytes between an entry and the store.
func (s *soak) disturbPath(ctx context.Context, d draw, m mode) {
	s.note("store held up (%d) for %s for %v", m, d.entry.name, d.length)
	d.entry.disturbed.add(time.Now().Add(d.length))
	d.entry.store.set(m, 0)
	sleep(ctx, d.length)
	d.entry.store.set(passes, 0)
	d.entry.disturbed.add(time.Now())
}

func resetStore(_ context.Context, s *soak, d draw) {
	s.note("store connections of %s reset", d.entry.name)
	d.entry.disturbed.add(time.Now())
	d.entry.store.reset()
}

func failStore(ctx context.Context, s *soak, d draw) {
	status := http.StatusServiceUnavailable
	if d.part > 0.5 {
		status = http.StatusTooManyRequests
	}
	s.note("store answers %d for %v", status, d.length)
	s.storeDisturbed.add(time.Now().Add(d.length))
	s.store.Fail(status)
	sleep(ctx, d.length)
	s.store.Fail(0)
	s.storeDisturbed.add(time.Now())
}

func compactStore(ctx context.Context, s *soak, d draw) {
	s.note("store deaf for %v, then forgets", d.length/2)
	s.storeDisturbed.add(time.Now().Add(d.length / 2))
	s.store.Deafen()
	sleep(ctx, d.length/2)
	s.store.Compact()
	s.storeDisturbed.add(time.Now())
}

func crashServer(ctx context.Context, s *soak, d draw) {
	name := d.server.Name()
	s.note("server %s crashes for %v", name, d.length)
	d.server.Stop()
	d.server.proxy.reset()
	s.store.Remove(platform.KindServers, string(name))
	sleep(ctx, d.length)
	s.revive(d.server)
}

// leaveServer drains a server, and brings another up at its address.
func leaveServer(ctx context.Context, s *soak, d draw) {
	name := d.server.Name()
	s.note("server %s leaves", name)
	d.server.Register("draining")
	s.leaves(name)
	sleep(ctx, leaveTime+d.length)
	if d.server.Name() != name {
		return // it crashed meanwhile
	}
	s.store.Remove(platform.KindServers, string(name))
	d.server.Stop()
	s.revive(d.server)
}

// revive starts a server under a new name, unless another fault did.
func (s *soak) revive(b *backend) {
	if err := b.listen(s.name()); err != nil {
		s.note("server not started: %v", err)
	}
}

func slowServer(ctx context.Context, s *soak, d draw) {
	s.breakServer(ctx, d, "is slow", standin.Faults{Slow: 10})
}

func loseAnswers(ctx context.Context, s *soak, d draw) {
	s.breakServer(ctx, d, "loses answers", standin.Faults{Lose: d.part})
}

func refuseRequests(ctx context.Context, s *soak, d draw) {
	s.breakServer(ctx, d, "refuses", standin.Faults{Refuse: d.part})
}

func (s *soak) breakServer(ctx context.Context, d draw, what string, f standin.Faults) {
	s.note("server %s %s for %v", d.server.Name(), what, d.length)
	f.Draw = s.draw
	d.server.Break(f)
	sleep(ctx, d.length)
	d.server.Break(standin.Faults{})
}

func silenceServer(ctx context.Context, s *soak, d draw) {
	s.note("server %s is silent for %v", d.server.Name(), d.length)
	d.server.proxy.set(silent, 0)
	sleep(ctx, d.length)
	d.server.proxy.set(passes, 0)
}

func delayServer(ctx context.Context, s *soak, d draw) {
	s.note("server %s is delayed for %v", d.server.Name(), d.length)
	d.server.proxy.set(passes, 50*time.Millisecond)
	sleep(ctx, d.length)
	d.server.proxy.set(passes, 0)
}

func changeConfig(_ context.Context, s *soak, _ draw) {
	s.configure()
	s.mu.Lock()
	v := s.version
	s.mu.Unlock()
	s.note("configuration %d", v)
}

func evacuateZone(ctx context.Context, s *soak, d draw) {
	s.note("zone %s evacuated for %v", d.server.zone, d.length)
	s.store.Put(platform.KindEvacuations, string(d.server.zone), "{}")
	sleep(ctx, d.length)
	s.store.Remove(platform.KindEvacuations, string(d.server.zone))
}

// draw returns numbers for the servers' faults, which are asked for by many.
func (s *soak) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance.Float64()
}
