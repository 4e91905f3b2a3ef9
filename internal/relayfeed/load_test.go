package relayfeed_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/standin/link"
	"github.com/shallotpier/shallotpier/internal/store"
)

const (
	loadZones          = 6
	fastLink, slowLink = 25e6, 1.25e6 // bytes a second
	// largest is the size to which the large object grows, in bytes.
	largest = 1 << 20
	large   = "routes"
	// applyBound is the time after a change within which entries in touch must have it, and
	// inTouchAfter that without a disturbance after which an entry is in touch.
	applyBound   = 3 * time.Second
	inTouchAfter = 4 * time.Second
	// linkMargin is how much longer than its transfer takes on a slow link a change of the large
	// object isn't followed by the next one.
	linkMargin = 1.2
	checkEvery = 50 * time.Millisecond
	// fetchInterval is how often an entry checks whether it needs the state of another one, and
	// fetchRetry the delay after it didn't get it.
	fetchInterval = 200 * time.Millisecond
	fetchRetry    = time.Second
	// entryLines bounds the log lines that are kept of an entry.
	entryLines = 60
)

// The runs with every test are short, and smaller under the race detector, which runs them on one
// thread (see internal/simclock). By hand, such as:
//
//	go test ./internal/relayfeed -run TestLoad -timeout 0 -load.entries 300 -load.changes 300 -load.first 100 -load.seeds 8
var (
	loadEntries = flag.Int("load.entries", 0, "number of entries of the load; 0 means 90, or 18 under the race detector")
	loadChanges = flag.Int("load.changes", 0, "number of changes of the load; 0 means 60, or 12 under the race detector")
	loadSeeds   = flag.Uint64("load.seeds", 2, "number of seeds of each case of the load")
	loadFirst   = flag.Uint64("load.first", 1, "first seed of the load")
	loadWhole   = flag.Bool("load.whole", false, "limit calls as a whole, however much of their answers has arrived")
)

type (
	// load plays changes and faults in a deployment whose links have rates.
	load struct {
		*deployment
		ctx    context.Context
		began  time.Time
		agenda []planned
		logs   map[*member]*lines
		// disturbed counts the disturbances of each entry in progress, and calmSince holds the
		// end of its last one.
		disturbed map[*member]int
		calmSince map[*member]time.Time
		cuts      map[[2]*member]int
		fetching  sync.Map // entries that ask for the state of another one
		writes    map[string][]write
		events    []string
		late      map[*member]bool // reported
		failures  int
		written   int64         // bytes of all changes
		quick     int64         // changes of the large object that followed another one at once
		longest   time.Duration // that an entry in touch was behind
	}

	// planned is an action at a time.
	planned struct {
		at time.Time
		do func()
	}

	// write is a change of an object.
	write struct {
		at      time.Time
		version store.Version
	}

	// lines keeps the latest lines of a log.
	lines struct {
		mu   sync.Mutex
		kept []string
	}
)

// Write implements io.Writer.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = append(l.kept, strings.TrimSpace(string(p)))
	l.kept = l.kept[max(len(l.kept)-entryLines, 0):]
	return len(p), nil
}

// newLoad returns a deployment with the first and another entry of each zone on fast links.
func newLoad(ctx context.Context, t *testing.T, entries int, seed uint64) *load {
	l := &load{
		deployment: newDeployment(t, entries, loadZones), ctx: ctx, began: time.Now(), logs: map[*member]*lines{}, disturbed: map[*member]int{},
		calmSince: map[*member]time.Time{}, cuts: map[[2]*member]int{}, writes: map[string][]write{}, late: map[*member]bool{},
	}
	l.rng = rand.New(rand.NewPCG(seed, 2))
	l.kind, l.resume, l.wholeCalls = follow.Configuration, true, *loadWhole
	l.size = func(o *store.Object) int {
		size, _, _ := strings.Cut(string(o.Value), "/")
		n, err := strconv.Atoi(size)
		if err != nil {
			return len(o.Value)
		}
		return n
	}
	second := 1 + l.rng.IntN(entries/loadZones-1)
	for i, m := range l.entries {
		rate := slowLink
		if i/loadZones == 0 || i/loadZones == second {
			rate = fastLink
		}
		m.link, m.self.LinkMbps = &link.Link{Rate: rate}, rate*8/1e6
		l.logs[m] = new(lines)
		m.log = slog.New(slog.NewTextHandler(l.logs[m], nil))
	}
	return l
}

// after plans an action.
func (l *load) after(d time.Duration, do func()) {
	l.agenda = append(l.agenda, planned{time.Now().Add(d), do})
}

// run plays the agenda, and checks the entries, for a while.
func (l *load) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(checkEvery) {
		now := time.Now()
		due := slices.Clone(l.agenda)
		l.agenda = slices.DeleteFunc(l.agenda, func(p planned) bool { return !p.at.After(now) })
		for _, p := range due {
			if !p.at.After(now) {
				p.do()
			}
		}
		l.check()
	}
}

func (l *load) logf(format string, args ...any) {
	l.events = append(l.events, fmt.Sprintf("%s ", time.Now().Format("04:05.000"))+fmt.Sprintf(format, args...))
}

// put writes an object of a size.
func (l *load) put(key string, size int) {
	l.store.Put(key, fmt.Sprintf("%d/%d", size, len(l.writes[key])))
	l.writes[key] = append(l.writes[key], write{time.Now(), l.store.Version()})
	l.written += int64(size)
	l.logf("%s of %d bytes is version %v", key, size, l.store.Version())
}

// change plans the next of so many changes, and returns how many it made. The link of a slow
// entry can carry all changes of the large object.
func (l *load) change(done, changes int) (made int, length time.Duration) {
	if l.rng.IntN(10) < 4 {
		l.put(fmt.Sprintf("s-%d", l.rng.IntN(10)), 200)
		return 1, l.random(600 * time.Millisecond)
	}
	// The object grows in three steps, as by an operator that adds many routes at once.
	size := largest * (1 + 5*min(4*done/changes, 3)) / 16
	made = 1
	if l.rng.IntN(3) == 0 {
		made = min(largest/size, 5)
	}
	l.quick += int64(made - 1)
	for i := range made {
		l.after(time.Duration(i)*300*time.Millisecond, func() { l.put(large, size+i) })
	}
	transfer := time.Duration(float64(made*size) / slowLink * linkMargin * float64(time.Second))
	return made, time.Duration(made)*300*time.Millisecond + transfer + l.random(1200*time.Millisecond)
}

// hold disturbs entries until the returned function is called.
func (l *load) hold(members ...*member) func() {
	for _, m := range members {
		l.disturbed[m]++
	}
	return func() {
		for _, m := range members {
			l.disturbed[m]--
			l.calmSince[m] = time.Now()
		}
	}
}

func (l *load) inTouch(m *member) bool {
	return l.disturbed[m] == 0 && time.Since(l.calmSince[m]) >= inTouchAfter
}

// some returns a random third of the undisturbed entries.
func (l *load) some() (out []*member) {
	for _, m := range l.entries {
		if l.disturbed[m] == 0 && l.rng.IntN(3) == 0 {
			out = append(out, m)
		}
	}
	return out
}

// cutOff cuts an entry off from others until the returned function is called.
func (l *load) cutOff(m *member, others ...*member) func() {
	change := func(by int) {
		for _, o := range others {
			l.cuts[[2]*member{m, o}] += by
		}
		cuts := maps.Clone(l.cuts)
		l.setCut(func(a, b *member) bool { return cuts[[2]*member{a, b}] > 0 })
	}
	change(1)
	return func() { change(-1) }
}

// fault begins a random fault and plans its end. Every second one hits one of the first entries
// of a zone, through which others follow the store.
func (l *load) fault() {
	m, other := l.entries[l.rng.IntN(len(l.entries))], l.entries[l.rng.IntN(len(l.entries))]
	if l.rng.IntN(2) == 0 {
		m = l.entries[l.rng.IntN(3*loadZones)]
	}
	if l.disturbed[m] > 0 {
		return
	}
	name, length := m.self.Instance, 200*time.Millisecond+l.random(6*time.Second)
	during := func(what string, end func(), members ...*member) {
		l.logf("%s, %s for %v", name, what, length)
		release := l.hold(members...)
		l.after(length, func() { end(); release() })
	}
	setFault := func(what string, f feed.Fault) {
		m.setFault(f)
		during(what, func() { m.setFault(feed.Fault{}) }, m)
	}
	switch l.rng.IntN(12) {
	case 0:
		m.paused.Store(true)
		during("paused", func() { m.paused.Store(false) }, m)
	case 1:
		during("cut off from "+string(other.self.Instance), l.cutOff(m, other))
	case 2:
		during("cut off from all", l.cutOff(m, l.entries...), m)
	case 3:
		setFault("refused by the store", feed.Fault{Unavailable: true})
	case 4:
		setFault("store silent", feed.Fault{Stalled: true})
	case 5:
		setFault("store slow", feed.Fault{Delay: 600 * time.Millisecond})
	case 6:
		m.stop()
		during("killed", func() { m.start(l.ctx) }, m)
	case 7:
		m.leaving.Store(true)
		l.after(length/2, m.stop)
		during("shuts down", func() { m.start(l.ctx) }, m)
	case 8:
		some := l.some()
		l.logf("%d connections to the store reset", len(some))
		for _, s := range some {
			s.process.Load().client.Reset()
		}
		// An entry is not in touch after a reset of its connections.
		l.hold(some...)()
	case 9:
		l.logf("history compacted")
		l.store.Compact()
	case 10:
		some := l.some()
		length = 100 * time.Millisecond
		for _, s := range some {
			s.setFault(feed.Fault{Stalled: true})
		}
		during(fmt.Sprintf("answers to %d entries lost", len(some)), func() {
			for _, s := range some {
				s.setFault(feed.Fault{})
			}
		}, some...)
	case 11:
		length /= 2
		l.store.SetUnavailable(true)
		during("store away", func() { l.store.SetUnavailable(false) }, l.entries...)
	}
}

// read lets an entry read the large object by itself.
func (l *load) read() {
	m := l.entries[l.rng.IntN(len(l.entries))]
	p := m.process.Load()
	if l.disturbed[m] > 0 || !p.runs() {
		return
	}
	o := l.store.Object(large)
	p.log.Info("object is read by itself", "version", o.Version, "bytes", l.size(&o))
	go func() {
		if p.carry(l.size(&o)) {
			_ = p.follower.ApplyRead(o, func() {})
		}
	}()
}

// fetch lets entries that need it take over the state of another entry, as internal/node does.
func (l *load) fetch() {
	for _, m := range l.entries {
		p := m.process.Load()
		if _, busy := l.fetching.Load(m); busy || !p.runs() || m.paused.Load() || !p.follower.NeedsPeerState() {
			continue
		}
		for _, n := range p.detector.Alive(time.Now()) {
			other := l.byName[n.Instance]
			from := other.process.Load()
			if !n.Ready || !p.follower.Latest().Before(n.Changes[l.kind]) || !from.runs() || other.paused.Load() || l.isCut(m, other) {
				continue
			}
			l.fetching.Store(m, true)
			go func() {
				if !p.takeOver(from) {
					time.Sleep(fetchRetry)
				}
				l.fetching.Delete(m)
			}()
			break
		}
	}
}

// takeOver takes over the state of another entry. It returns false if that doesn't arrive.
func (p *process) takeOver(from *process) bool {
	var (
		objects []store.Object
		as      store.Version
		size    int
	)
	from.follower.Capture(func(version store.Version) { objects, as = from.state.objects(), version })
	for i := range objects {
		size += p.d.size(&objects[i])
	}
	from.log.Info("state sent to another entry", "instance", p.self.Instance, "version", as, "bytes", size)
	p.log.Info("state of another entry requested", "instance", from.self.Instance, "version", as, "bytes", size)
	if !p.carry(size, from.link) {
		return false
	}
	p.follower.Bootstrap(as, func() { p.state.Replace(time.Now(), objects) })
	return true
}

// carry waits until bytes have passed the entry's link, and others before it. It returns false if
// the process ends or the bytes stall meanwhile.
func (p *process) carry(bytes int, others ...*link.Link) bool {
	for began := time.Now(); bytes > 0 && p.runs(); bytes -= link.Chunk {
		part := time.Now()
		link.Pass(min(bytes, link.Chunk), append(others, p.link)...)
		if time.Since(part) > recentPart && time.Since(began) > time.Second {
			return false
		}
	}
	return p.resumed(context.Background()) && p.runs()
}

// objects returns the applied objects.
func (s *state) objects() (out []store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, version := range s.versions {
		out = append(out, store.Object{Key: key, Version: version, Value: []byte(s.values[key])})
	}
	return out
}

// check checks that no entry in touch is behind by more than the bound, and that none has gone
// back to an older version.
func (l *load) check() {
	now := time.Now()
	for _, m := range l.entries {
		p := m.process.Load()
		p.state.mu.Lock()
		regressed := p.state.regressed
		p.state.regressed = nil
		behind, missing := time.Duration(0), ""
		for key, all := range l.writes {
			applied := p.state.versions[key]
			i, _ := slices.BinarySearchFunc(all, applied, func(w write, v store.Version) int {
				if v.Before(w.version) {
					return 1
				}
				return -1
			})
			if i < len(all) && now.Sub(all[i].at) > behind {
				behind, missing = now.Sub(all[i].at), fmt.Sprintf("%s %v, has %v", key, all[i].version, applied)
			}
		}
		p.state.mu.Unlock()
		for _, r := range regressed {
			l.report(m, "goes back: "+r)
		}
		switch {
		case !l.inTouch(m) || !p.runs():
			continue
		case behind <= applyBound:
			l.late[m] = false
		case !l.late[m]:
			l.late[m] = true
			l.report(m, fmt.Sprintf("lacks %s, for %v", missing, behind))
		}
		l.longest = max(l.longest, behind)
	}
}

// report reports a failure of an entry with what has happened before.
func (l *load) report(m *member, what string) {
	const reported = 4
	l.failures++
	if l.failures > reported {
		return
	}
	p := m.process.Load()
	log := l.logs[m]
	log.mu.Lock()
	defer log.mu.Unlock()
	l.t.Errorf("%s: %s %s\nlink %v Mbit/s, source %q, behind others for %v, store unavailable %v, receiving %v, short polls %v\nevents:\n%s\nlog:\n%s",
		time.Now().Format("04:05.000"), m.self.Instance, what, m.self.LinkMbps, p.feed.Origin().Entry, p.follower.Behind(time.Now()), p.follower.Unavailable(), p.feed.Receiving(), p.shortPolls(),
		strings.Join(l.events[max(len(l.events)-40, 0):], "\n"), strings.Join(log.kept, "\n"))
}

// bytes returns the bytes that the store's answers have had.
func (l *load) bytes() (all int64) {
	for _, m := range l.entries {
		all += m.process.Load().client.Bytes()
	}
	return all
}

// Guards against entries that have an old state for longer than its bound, or go back to it, when
// a large object changes, most links are slow and faults come at any time; and against calls of
// all entries after a change.
func TestLoad(t *testing.T) {
	entries, changes := 90, 60
	if simclock.Race {
		entries, changes = 18, 12
	}
	if *loadEntries > 0 {
		entries = *loadEntries
	}
	if *loadChanges > 0 {
		changes = *loadChanges
	}
	for _, faults := range []bool{false, true} {
		for seed := *loadFirst; seed < *loadFirst+*loadSeeds; seed++ {
			t.Run(fmt.Sprintf("faults %v, seed %d", faults, seed), func(t *testing.T) {
				simclock.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					l := newLoad(ctx, t, entries, seed)
					l.store.Put(large, "65536/0")
					l.start(ctx)
					l.play(faults, changes)
					cancel()
					time.Sleep(20 * time.Second) // ends calls and transfers in progress
					synctest.Wait()
				})
			})
		}
	}
}

// play plays changes, beside faults.
func (l *load) play(faults bool, changes int) {
	reads, lists := l.reads()
	bytes := l.bytes()
	if faults {
		var fault, read func()
		fault = func() { l.fault(); l.after(l.random(2500*time.Millisecond), fault) }
		read = func() { l.read(); l.after(l.random(2*time.Second), read) }
		l.after(inTouchAfter, fault)
		l.after(0, read)
	}
	var fetch func()
	fetch = func() { l.fetch(); l.after(fetchInterval, fetch) }
	l.after(0, fetch)
	for done := 0; done < changes; {
		made, length := l.change(done, changes)
		done += made
		l.run(length)
	}
	l.run(2 * time.Second)
	readsNow, listsNow := l.reads()
	reads, lists, bytes = readsNow-reads, listsNow-lists, l.bytes()-bytes
	l.t.Logf("%d entries, %d changes in %v: in touch %v behind at most, %d calls to the store, %d lists, %d MB of its answers for %d MB of changes; %d failures",
		len(l.entries), changes, time.Since(l.began).Round(time.Second), l.longest, reads, lists, bytes>>20, l.written>>20, l.failures)
	// The leaders and the short-poll entries get each change, and a few entries may get it twice.
	// After a change that another one follows at once, they list instead of watching.
	direct := int64(2*loadZones + shortPolls)
	readers := direct + 5
	if !faults && (bytes > readers*l.written || lists > readers+direct*l.quick) {
		l.t.Errorf("%d bytes of changes, %d of them at once, took %d bytes of the store's answers and %d lists; want those of %d entries", l.written, l.quick, bytes, lists, readers)
	}
}
