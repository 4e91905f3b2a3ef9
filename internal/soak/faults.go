package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	// maxFaultGap is the longest time between the starts of two faults. Many faults
	// last longer, so that they overlap.
	maxFaultGap = 900 * time.Millisecond
	// maxCopyAge is the greatest age of a copy from which the store is restored.
	maxCopyAge = 6 * time.Second
	// rewriteTime is the time in which the operator and the servers repeat the writes
	// that a restored store has lost.
	rewriteTime = 1500 * time.Millisecond
	// minRatio and ratioRange limit faultParams.ratio.
	minRatio   = 0.2
	ratioRange = 0.6
)

const (
	restartTries    = 20
	restartInterval = 50 * time.Millisecond
)

// fault injects one kind of fault and returns when it has ended.
type fault func(ctx context.Context, s *soak, p faultParams)

// faultParams are the random parameters of one fault.
type faultParams struct {
	entry    *process
	server   *backend
	duration time.Duration
	ratio    float64
}

// enabledProbability is the probability with which a run includes each kind of fault.
// Kinds are left out because one fault can hide the effects of another. For example,
// an outage of the store hides that a draining server still gets requests.
const enabledProbability = 0.35

// chooseFaults selects the kinds of faults of a run at random.
func (s *soak) chooseFaults() []fault {
	all := []fault{
		killEntry, stopEntry, pauseEntry, reloadEntry, stallStore, stallStoreResponses, resetStoreConnections, failStore, compactStore,
		restoreStore, restoreAfterDrain, crashServer, drainServer, slowServer, loseResponses, rejectRequests, stallServer, delayServer, changeConfig,
		changeConfig, evacuateZone,
	}
	var enabled []fault
	for len(enabled) == 0 {
		for _, f := range all {
			if s.rng.Float64() < enabledProbability {
				enabled = append(enabled, f)
			}
		}
	}
	return enabled
}

// inject injects faults for Options.Length and returns when all have ended.
func (s *soak) inject(ctx context.Context) {
	all := s.chooseFaults()
	var wg sync.WaitGroup
	for end := time.Now().Add(s.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		f := all[s.rng.IntN(len(all))]
		p := faultParams{
			entry: s.entries[s.rng.IntN(len(s.entries))], server: s.servers[s.rng.IntN(len(s.servers))],
			duration: time.Duration(0.3e9 + s.rng.Int64N(2.5e9)), ratio: minRatio + ratioRange*s.rng.Float64(),
		}
		gap := time.Duration(s.rng.Int64N(int64(maxFaultGap)))
		wg.Go(func() { f(ctx, s, p) })
		sleep(ctx, gap)
	}
	wg.Wait()
}

func killEntry(ctx context.Context, s *soak, p faultParams) {
	s.logFault("%s killed for %v", p.entry.name, p.duration)
	p.entry.disturbance.add(time.Now().Add(p.duration + startTimeout))
	p.entry.kill()
	sleep(ctx, p.duration)
	s.relaunch(p.entry)
}

func stopEntry(_ context.Context, s *soak, p faultParams) {
	s.logFault("%s shut down", p.entry.name)
	p.entry.stop()
	s.relaunch(p.entry)
}

// relaunch starts an entry again, unless another fault has done so.
func (s *soak) relaunch(e *process) {
	e.relaunchMu.Lock()
	defer e.relaunchMu.Unlock()
	if !e.hasExited() {
		return
	}
	e.disturbance.add(time.Now().Add(time.Second))
	if err := e.launch(); err != nil {
		s.logFault("%s not started: %v", e.name, err)
	}
}

func pauseEntry(ctx context.Context, s *soak, p faultParams) {
	s.logFault("%s paused for %v", p.entry.name, p.duration)
	p.entry.disturb(time.Now().Add(p.duration))
	p.entry.signal(syscall.SIGSTOP)
	sleep(ctx, p.duration)
	p.entry.signal(syscall.SIGCONT)
	p.entry.disturb(time.Now())
}

func reloadEntry(_ context.Context, s *soak, p faultParams) {
	s.logFault("%s reloads its settings", p.entry.name)
	p.entry.signal(syscall.SIGHUP)
}

func stallStore(ctx context.Context, s *soak, p faultParams) { s.stallStorePath(ctx, p, stalled) }

func stallStoreResponses(ctx context.Context, s *soak, p faultParams) {
	s.stallStorePath(ctx, p, stalledResponses)
}

// stallStorePath sets the mode of the proxy between an entry and the store for the
// duration of the fault.
func (s *soak) stallStorePath(ctx context.Context, p faultParams, m mode) {
	s.logFault("store path stalled (mode %d) for %s for %v", m, p.entry.name, p.duration)
	p.entry.disturb(time.Now().Add(p.duration))
	p.entry.storeProxy.setMode(m, 0)
	sleep(ctx, p.duration)
	p.entry.storeProxy.setMode(forwarding, 0)
	p.entry.disturb(time.Now())
}

func resetStoreConnections(_ context.Context, s *soak, p faultParams) {
	s.logFault("store connections of %s reset", p.entry.name)
	p.entry.disturb(time.Now())
	p.entry.storeProxy.reset()
}

func failStore(ctx context.Context, s *soak, p faultParams) {
	status := http.StatusServiceUnavailable
	if p.ratio > 0.5 {
		status = http.StatusTooManyRequests
	}
	s.logFault("store answers %d for %v", status, p.duration)
	s.storeDisturbance.add(time.Now().Add(p.duration))
	s.setStoreStatus(status)
	sleep(ctx, p.duration)
	s.setStoreStatus(0)
	s.storeDisturbance.add(time.Now())
}

func compactStore(ctx context.Context, s *soak, p faultParams) {
	s.logFault("store stalls watches for %v, then discards its history", p.duration/2)
	s.storeDisturbance.add(time.Now().Add(p.duration / 2))
	s.store.StallWatches()
	sleep(ctx, p.duration/2)
	s.store.Compact()
	s.storeDisturbance.add(time.Now())
}

// restoreStore restores the store from a copy, after it was away for a moment.
func restoreStore(ctx context.Context, s *soak, p faultParams) {
	s.restore(ctx, p.duration/4, time.Duration((p.ratio-minRatio)/ratioRange*float64(maxCopyAge)))
}

// restoreAfterDrain drains a server, and restores the store from a copy made before,
// once the entries have received the announcement.
func restoreAfterDrain(ctx context.Context, s *soak, p faultParams) {
	name := s.announceDraining(p.server)
	sleep(ctx, drainDelay+p.duration/4)
	s.restore(ctx, p.duration/4, drainDelay+p.duration/2)
	s.endDraining(p.server, name)
}

// restore restores the store from a copy, after it was away. The operator and the
// servers repeat their lost writes one after the other.
func (s *soak) restore(ctx context.Context, away, age time.Duration) {
	s.logFault("store away for %v, then restored from a copy %v old", away, age)
	s.storeDisturbance.add(time.Now().Add(away + rewriteTime))
	s.setStoreStatus(http.StatusServiceUnavailable)
	sleep(ctx, away)
	lost := s.store.Restore(away + age)
	s.setStoreStatus(0)
	s.logFault("store restored, %d writes to repeat", len(lost))
	for _, w := range lost {
		sleep(ctx, time.Duration(s.random()*float64(rewriteTime)/float64(len(lost))))
		s.store.Rewrite(w)
	}
	s.storeDisturbance.add(time.Now())
}

func crashServer(ctx context.Context, s *soak, p faultParams) {
	if s.takeDown(p.server) {
		s.logFault("server %s crashes for %v", p.server.Name(), p.duration)
		sleep(ctx, p.duration)
		s.restartServer(p.server)
	}
}

// takeDown crashes a server and reports whether it was up: its connections are reset,
// new ones are refused, and its registration is removed.
func (s *soak) takeDown(b *backend) bool {
	if b.down.Swap(true) {
		return false
	}
	b.proxy.refuse()
	b.proxy.reset()
	s.links.takeDown(b)
	b.Crash()
	s.store.Remove(platform.KindServers, string(b.Name()))
	return true
}

// drainServer drains a server and starts another one at its address.
func drainServer(ctx context.Context, s *soak, p faultParams) {
	name := s.announceDraining(p.server)
	sleep(ctx, drainDelay+p.duration)
	s.endDraining(p.server, name)
}

// announceDraining lets a server announce that it drains, and returns its name.
func (s *soak) announceDraining(b *backend) id.Server {
	name := b.Name()
	s.logFault("server %s drains", name)
	b.Register("draining")
	s.recordDraining(name)
	return name
}

// endDraining replaces a server that drained by another one at its address.
func (s *soak) endDraining(b *backend, name id.Server) {
	if b.Name() != name || b.down.Swap(true) {
		return // it crashed in the meantime
	}
	s.store.Remove(platform.KindServers, string(name))
	b.Stop()
	s.restartServer(b)
}

// restartServer starts a server that is down under a new name. The address may be in
// use for a short time.
func (s *soak) restartServer(b *backend) {
	var err error
	for range restartTries {
		if err = s.startBehindProxy(b); err == nil {
			b.down.Store(false)
			return
		}
		time.Sleep(restartInterval)
	}
	s.logFault("server not started: %v", err)
}

func slowServer(ctx context.Context, s *soak, p faultParams) {
	s.injectServerFault(ctx, p, "is slow", standin.Faults{Slowdown: 10})
}

func loseResponses(ctx context.Context, s *soak, p faultParams) {
	s.injectServerFault(ctx, p, "loses responses", standin.Faults{LossRatio: p.ratio})
}

func rejectRequests(ctx context.Context, s *soak, p faultParams) {
	s.injectServerFault(ctx, p, "refuses", standin.Faults{RejectRatio: p.ratio})
}

// injectServerFault sets the faults of a server for p.duration.
func (s *soak) injectServerFault(ctx context.Context, p faultParams, what string, f standin.Faults) {
	s.logFault("server %s %s for %v", p.server.Name(), what, p.duration)
	f.Random = s.random
	p.server.SetFaults(f)
	sleep(ctx, p.duration)
	p.server.SetFaults(standin.Faults{})
}

func stallServer(ctx context.Context, s *soak, p faultParams) {
	s.logFault("server %s is stalled for %v", p.server.Name(), p.duration)
	s.setServerPath(ctx, p, stalled, 0)
}

func delayServer(ctx context.Context, s *soak, p faultParams) {
	s.logFault("server %s is delayed for %v", p.server.Name(), p.duration)
	s.setServerPath(ctx, p, forwarding, 50*time.Millisecond)
}

// setServerPath sets the mode and the delay of a server's proxy for the duration of the
// fault.
func (s *soak) setServerPath(ctx context.Context, p faultParams, m mode, delay time.Duration) {
	p.server.disturbance.add(time.Now().Add(p.duration))
	if m == stalled {
		p.server.stalls.add(time.Now().Add(p.duration))
	}
	p.server.proxy.setMode(m, delay)
	sleep(ctx, p.duration)
	p.server.proxy.setMode(forwarding, 0)
	p.server.disturbance.add(time.Now())
}

func changeConfig(_ context.Context, s *soak, _ faultParams) {
	s.publishConfig()
	s.mu.Lock()
	v := s.version
	s.mu.Unlock()
	s.logFault("configuration %d published", v)
}

func evacuateZone(ctx context.Context, s *soak, p faultParams) {
	s.logFault("zone %s evacuated for %v", p.server.zone, p.duration)
	s.store.Put(platform.KindEvacuations, string(p.server.zone), "{}")
	sleep(ctx, p.duration)
	s.store.Remove(platform.KindEvacuations, string(p.server.zone))
}

// random returns a random number for the servers' faults. It is safe for concurrent
// use.
func (s *soak) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultRNG.Float64()
}
