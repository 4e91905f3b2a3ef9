package follow_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotpier/shallotpier/internal/follow"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/feed"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
)

// Kinds of steps, and changes of a running server.
const (
	changeStep  stepKind = "change"
	disruptStep stepKind = "disrupt"
	restoreStep stepKind = "restore"

	report serverChange = "report"
	leave  serverChange = "leave"
	stop   serverChange = "stop"
	lapse  serverChange = "lapse"
)

const (
	historyEntries = 4
	// historyShortPolls is the number of entries that use a short wait.
	historyShortPolls = 2
	historyServers    = 5
	historyGrace      = 2400 * time.Millisecond
	// historyRewrite is the longest time after a restore until a server has written
	// its registration again.
	historyRewrite = time.Second
	// historyStable is how long after the end of its faults an entry may differ from
	// the store.
	historyStable = 3 * time.Second
	heartbeats    = 500 * time.Millisecond
	historyStep   = 50 * time.Millisecond
)

type (
	// history plays servers that register in a store, restores of the store, and
	// entries that follow it over connections with faults.
	history struct {
		store *feed.Store
		// configuration is the store's objects of another kind, which don't change.
		configuration *feed.Store
		copies        []*feed.Copy
		servers       []*registrant
		entries       []*historyEntry
		beatAt        time.Time
		// repairedAt is the time of the last write.
		repairedAt time.Time
		// disruptedUntil is the end of the last fault of an entry or of the store.
		disruptedUntil time.Time
		events         []string
		// failure describes the first failed check, empty if there is none.
		failure string
	}

	// step is a step of a history. Steps use the fields that they need.
	step struct {
		Kind   stepKind
		Server int
		Change serverChange
		Entry  int
		Fault  feed.Fault
		// Length is how long a fault lasts, or the store is away.
		Length time.Duration
		// Back is how many copies before the latest the store is restored from.
		Back int
		// Rewrites are the times until the servers write again.
		Rewrites []time.Duration
		// Pause is the time until the next step.
		Pause time.Duration
	}

	stepKind     string
	serverChange string

	// registrant is a server that registers itself.
	registrant struct {
		roster.Server
		running   bool
		rewriteAt time.Time // zero if its registration is written
	}

	// historyEntry is an entry. It implements follow.Sink.
	historyEntry struct {
		*follow.Follower // of the servers
		group            follow.Group
		clients          []*feed.Client
		roster           *roster.Roster
		others           []*historyEntry

		mu sync.Mutex
		// leaving holds the latest acknowledged registration as leaving.
		leaving map[id.Server]roster.Server
	}
)

func (e *historyEntry) Replace(now time.Time, all []store.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []roster.Server
	for _, o := range all {
		list = append(list, e.acknowledge(o))
	}
	e.roster.Replace(now, list)
}

func (e *historyEntry) Change(now time.Time, o store.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roster.Put(now, e.acknowledge(o))
}

func (e *historyEntry) Remove(now time.Time, key string) { e.roster.Remove(now, id.Server(key)) }

func (e *historyEntry) StoreRecovered(now time.Time, _ time.Duration) {
	e.roster.StoreRecovered(now.Add(-e.longestPeerStoreUptime(now)))
}

func (e *historyEntry) StoreRestored(now time.Time, _, _ store.Version) {
	e.roster.StoreRestored(now.Add(-e.longestPeerStoreUptime(now)))
}

// longestPeerStoreUptime returns what heartbeats tell of the other entries.
func (e *historyEntry) longestPeerStoreUptime(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, other := range e.others {
		if other.Latest().Era == e.Era() {
			longest = max(longest, other.AvailableFor(now))
		}
	}
	return longest
}

// acknowledge records a registration as leaving. The caller must hold mu until it is
// applied.
func (e *historyEntry) acknowledge(o store.Object) roster.Server {
	var s roster.Server
	if err := json.Unmarshal(o.Value, &s); err != nil {
		panic(err)
	}
	if s.Leaving && compareReports(s, e.leaving[s.Name]) > 0 {
		e.leaving[s.Name] = s
	}
	return s
}

func compareReports(a, b roster.Server) int {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Sequence, b.Sequence))
}

func durations(low, high time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.Int64Range(int64(low), int64(high)), func(n int64) time.Duration { return time.Duration(n) })
}

// steps generates steps.
func steps() *rapid.Generator[step] {
	return rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom([]stepKind{changeStep, changeStep, changeStep, disruptStep, restoreStep}).Draw(rt, "kind"),
			Server: rapid.IntRange(0, historyServers-1).Draw(rt, "server"),
			Change: rapid.SampledFrom([]serverChange{report, leave, stop, lapse}).Draw(rt, "change"),
			Entry:  rapid.IntRange(0, historyEntries-1).Draw(rt, "entry"),
			Fault: rapid.SampledFrom([]feed.Fault{
				{Unavailable: true}, {Stalled: true}, {Delay: 300 * time.Millisecond}, {Delay: 600 * time.Millisecond},
			}).Draw(rt, "fault"),
			Length:   durations(0, 3*time.Second).Draw(rt, "length"),
			Back:     rapid.IntRange(0, 3).Draw(rt, "back"),
			Rewrites: rapid.SliceOfN(durations(0, historyRewrite), historyServers, historyServers).Draw(rt, "rewrites"),
			Pause:    durations(0, 1500*time.Millisecond).Draw(rt, "pause"),
		}
	})
}

func newHistory(ctx context.Context) *history {
	first := store.Version{Revision: 500}
	h := &history{store: feed.New(first), configuration: feed.New(first), beatAt: time.Now()}
	h.configuration.Put("main", "")
	for i := range historyServers {
		name := id.Server(fmt.Sprintf("i-%d", i))
		h.servers = append(h.servers, &registrant{Server: roster.Server{Name: name, Service: "registry", Address: "10.0.0.1:80", Zone: "a-1", Region: "a", Slots: 6}})
	}
	for i := range historyEntries {
		e := &historyEntry{leaving: make(map[id.Server]roster.Server)}
		e.roster = &roster.Roster{Grace: historyGrace, Log: slog.New(slog.DiscardHandler)}
		e.group = make(follow.Group)
		add := func(kind follow.Kind, s *feed.Store, sink follow.Sink) {
			client := &feed.Client{Store: s, Timeout: callTimeout}
			e.clients = append(e.clients, client)
			e.group[kind] = &follow.Follower{
				Feed: client, Kind: kind, Sink: sink, Timeout: callTimeout, ShortWait: shortWait, LongWait: longWait, Batch: batch,
				StallTimeout: stallTimeout, ShortPoll: func() bool { return i < historyShortPolls }, Log: slog.New(slog.DiscardHandler),
			}
		}
		add(follow.Servers, h.store, e)
		add(follow.Configuration, h.configuration, &table{})
		e.Follower = e.group[follow.Servers]
		h.entries = append(h.entries, e)
	}
	for _, e := range h.entries {
		e.others = slices.DeleteFunc(slices.Clone(h.entries), func(other *historyEntry) bool { return other == e })
		e.group.Run(ctx)
	}
	return h
}

func (h *history) note(format string, args ...any) {
	h.events = append(h.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// value returns what a server writes to the store.
func (s *registrant) value() string {
	data, err := json.Marshal(s.Server)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// write registers a server.
func (h *history) write(s *registrant) {
	h.store.Put(string(s.Name), s.value())
	s.rewriteAt, h.repairedAt = time.Time{}, time.Now()
	h.note("%s written, started %d, sequence %d, leaving %t: %v", s.Name, s.StartedAt, s.Sequence, s.Leaving, h.store.Version())
}

// changeServer starts a server, changes its registration, or stops it.
func (h *history) changeServer(st *step) {
	s := h.servers[st.Server]
	if !s.running {
		s.running, s.Leaving = true, false
		s.StartedAt++
		s.Sequence = 1
		h.write(s)
		return
	}
	switch st.Change {
	case report:
		s.Sequence++
		s.Slots++
		h.write(s)
	case leave:
		s.Sequence++
		s.Leaving = true
		h.write(s)
	case stop:
		s.running, s.rewriteAt = false, time.Time{}
		h.removeEntry(s)
	case lapse:
		h.removeEntry(s)
		s.Sequence += 2
		s.rewriteAt = time.Now().Add(historyRewrite)
	}
}

func (h *history) removeEntry(s *registrant) {
	h.store.Remove(string(s.Name))
	h.repairedAt = time.Now()
	h.note("%s removed: %v", s.Name, h.store.Version())
}

// restore restores the store from a copy. Servers write again what is lost.
func (h *history) restore(st *step) {
	if st.Length > 0 {
		h.setUnavailable(true)
		h.advance(st.Length)
	}
	i := max(0, len(h.copies)-1-st.Back)
	h.store.Restore(h.copies[i])
	h.copies = h.copies[:i+1]
	h.configuration.Restore(h.configuration.Copy())
	h.setUnavailable(false)
	h.note("store restored: %v", h.store.Version())
	h.repairedAt, h.disruptedUntil = time.Now(), later(h.disruptedUntil, time.Now())
	for j, s := range h.servers {
		s.rewriteAt = time.Now().Add(st.Rewrites[j])
	}
}

func (h *history) setUnavailable(unavailable bool) {
	h.note("store unavailable: %t", unavailable)
	h.store.SetUnavailable(unavailable)
	h.configuration.SetUnavailable(unavailable)
}

// rewrite writes what is due since a restore.
func (h *history) rewrite(now time.Time) {
	values := h.store.Values()
	for _, s := range h.servers {
		if s.rewriteAt.IsZero() || now.Before(s.rewriteAt) {
			continue
		}
		written, listed := values[string(s.Name)]
		switch {
		case s.running && written != s.value():
			h.write(s)
		case !s.running && listed:
			h.removeEntry(s)
		}
		s.rewriteAt = time.Time{}
	}
}

// disrupt gives an entry a fault for a while.
func (h *history) disrupt(st *step) {
	h.note("entry %d: %+v for %v", st.Entry, st.Fault, st.Length)
	for _, client := range h.entries[st.Entry].clients {
		client.SetFault(st.Fault)
		time.AfterFunc(st.Length, func() { client.SetFault(feed.Fault{}) })
	}
	h.disruptedUntil = later(h.disruptedUntil, time.Now().Add(st.Length))
}

// advance lets time pass.
func (h *history) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(historyStep) {
		now := time.Now()
		h.rewrite(now)
		if now.Sub(h.beatAt) >= heartbeats {
			h.beatAt = now
			h.exchange(now)
		}
		for i, e := range h.entries {
			e.roster.Step(now)
			h.checkLeaving(i, e)
		}
	}
}

// exchange delivers what heartbeats carry, and the state that an entry lacks.
func (h *history) exchange(now time.Time) {
	for _, to := range h.entries {
		for _, from := range h.entries {
			to.Invalidate(from.Latest())
			if from == to || !to.NeedsPeerState() {
				continue
			}
			var (
				version store.Version
				list    []roster.Server
			)
			from.Capture(func(v store.Version) { version, list = v, from.roster.Servers(now) })
			to.Bootstrap(version, func() { to.roster.Bootstrap(now, list) })
		}
	}
}

// checkLeaving detects a server that an entry uses although it has acknowledged its
// leaving, and the server hasn't reported since.
func (h *history) checkLeaving(i int, e *historyEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.roster.View().Members("registry") {
		if s, ok := e.leaving[m.Name]; ok && compareReports(m.Server, s) <= 0 {
			h.fail("entry %d uses %s by start %d, sequence %d; it has acknowledged its leaving by start %d, sequence %d",
				i, m.Name, m.StartedAt, m.Sequence, s.StartedAt, s.Sequence)
		}
	}
}

// checkEqual detects an entry whose servers differ from those of the store.
func (h *history) checkEqual() {
	want := make(map[id.Server]roster.Server)
	for key, value := range h.store.Values() {
		var s roster.Server
		if err := json.Unmarshal([]byte(value), &s); err != nil {
			panic(err)
		}
		want[id.Server(key)] = s
	}
	for i, e := range h.entries {
		got := make(map[id.Server]roster.Server)
		for _, s := range e.roster.Servers(time.Now()) {
			got[s.Name] = s
		}
		if !maps.Equal(got, want) {
			h.fail("entry %d has %+v, the store has %+v", i, got, want)
		}
	}
}

func (h *history) fail(format string, args ...any) {
	if h.failure == "" {
		h.note(format, args...)
		h.failure = strings.Join(h.events, "\n")
	}
}

func later(a, b time.Time) time.Time {
	return slices.MaxFunc([]time.Time{a, b}, time.Time.Compare)
}

// Whatever servers write, however often the store is restored from older copies, and
// however entries' connections lag: an entry must have the same servers as the store
// again within repairBound of the last write, and must not use a server whose leaving
// it has acknowledged.
func TestHistoriesOfRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := rapid.SliceOfN(steps(), 1, 30).Draw(rt, "steps")
		failure := ""
		simclock.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			failure = play(ctx, all)
			cancel()
			time.Sleep(time.Minute) // let pending calls end
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// play plays a history, and describes what failed.
func play(ctx context.Context, all []step) string {
	h := newHistory(ctx)
	h.advance(time.Second)
	for i := range all {
		h.copies = append(h.copies, h.store.Copy())
		switch st := &all[i]; st.Kind {
		case changeStep:
			h.changeServer(st)
		case disruptStep:
			h.disrupt(st)
		case restoreStep:
			h.restore(st)
		}
		h.advance(all[i].Pause)
	}
	h.advance(historyRewrite + historyStep)
	for _, end := range []time.Time{h.repairedAt.Add(repairBound), h.disruptedUntil.Add(historyStable)} {
		h.advance(time.Until(end))
	}
	h.checkEqual()
	return h.failure
}
