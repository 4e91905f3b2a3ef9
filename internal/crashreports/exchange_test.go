package crashreports_test

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/crashreports"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
)

type (
	// network connects exchanges; calls over a cut link time out.
	network struct {
		handlers map[id.Instance]map[string]peer.Handler
		cut      map[[2]id.Instance]bool
	}

	endpoint struct {
		n    *network
		self id.Instance
	}
)

func (e endpoint) Register(method string, h peer.Handler) {
	if e.n.handlers[e.self] == nil {
		e.n.handlers[e.self] = map[string]peer.Handler{}
	}
	e.n.handlers[e.self][method] = h
}

func (e endpoint) Call(ctx context.Context, to id.Instance, method string, params, result any) error {
	if e.n.cut[[2]id.Instance{e.self, to}] {
		<-ctx.Done()
		return ctx.Err()
	}
	h := e.n.handlers[to][method]
	if h == nil {
		return errors.New("no such method")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	got, err := h(ctx, peer.Sender{Instance: e.self}, raw)
	if err != nil || result == nil {
		return err
	}
	raw, err = json.Marshal(got)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func connect(n *network, names ...id.Instance) map[id.Instance]*crashreports.Exchange {
	all := map[id.Instance]*crashreports.Exchange{}
	for i, name := range names {
		x := &crashreports.Exchange{List: &quarantine.List{Instance: name}, Peers: endpoint{n, name}, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		x.Others = func() []id.Instance {
			var others []id.Instance
			for _, o := range names {
				if o != name {
					others = append(others, o)
				}
			}
			return others
		}
		x.Register(endpoint{n, name})
		all[name] = x
	}
	return all
}

func newNetwork() *network {
	return &network{handlers: map[id.Instance]map[string]peer.Handler{}, cut: map[[2]id.Instance]bool{}}
}

// TestBroadcast checks that a report reaches an entry that its sender can't reach,
// relayed by another one.
func TestBroadcast(t *testing.T) {
	tests := map[string]struct {
		cut  [][2]id.Instance
		want bool
	}{
		"all reachable":   {want: true},
		"one relayed":     {cut: [][2]id.Instance{{"a", "c"}}, want: true},
		"one unreachable": {cut: [][2]id.Instance{{"a", "c"}, {"b", "c"}}},
		"all unreachable": {cut: [][2]id.Instance{{"a", "b"}, {"a", "c"}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				all := connect(n, "a", "b", "c")
				for _, c := range tt.cut {
					n.cut[c] = true
				}
				fp, now := quarantine.Fingerprint{1}, time.Now()
				all["a"].Broadcast(t.Context(), all["a"].List.RecordCrash(now, fp, quarantine.Origin{Service: "registry", Class: "lookup", Send: "s1"}))
				is.True(time.Since(now) <= time.Second)
				is.Equal(all["c"].List.Check(now, fp).Refused, tt.want)
			})
		})
	}
}

// TestComparisonSynchronisesLists checks that a comparison transfers reports
// and the end of a quarantine to an entry that has received neither.
func TestComparisonSynchronisesLists(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := connect(n, "a", "b")
		fp := quarantine.Fingerprint{1}
		lifted := quarantine.Fingerprint{2}
		for _, send := range []string{"s1", "s2"} {
			o := quarantine.Origin{Service: "registry", Class: "lookup", Send: send, Began: time.Now()}
			time.Sleep(time.Millisecond)
			all["a"].List.RecordCrash(time.Now(), fp, o)
			all["b"].List.RecordCrash(time.Now(), lifted, o)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		all["a"].List.Lift(time.Now(), lifted)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = all["b"].Run(ctx) }()
		time.Sleep(time.Second)
		cancel()
		is.True(all["b"].List.Quarantined(time.Now(), fp))
		is.True(!all["b"].List.Quarantined(time.Now(), lifted))
		a, b := all["a"].List.Entries(time.Now()), all["b"].List.Entries(time.Now())
		is.Equal(len(a), 1)
		is.Equal(len(b), 1)
		is.True(a[0].Until.Equal(b[0].Until))
		a[0].Until = b[0].Until // equal times may differ in their representation
		is.Equal(a, b)
	})
}

// An entry must pull once for each change of its list or the other's, try again after a
// failure, and never pull where digests are equal or missing.
func TestCompareOfDigests(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		all := connect(n, "a", "b")
		var calls atomic.Int64
		compare := n.handlers["b"][crashreports.MethodCompare]
		n.handlers["b"][crashreports.MethodCompare] = func(ctx context.Context, from peer.Sender, params json.RawMessage) (any, error) {
			calls.Add(1)
			return compare(ctx, from, params)
		}
		heartbeat := func() {
			all["a"].Compare("b", all["b"].List.Digest(time.Now()))
			time.Sleep(2 * time.Second)
			synctest.Wait()
		}
		crash := func(at id.Instance, n byte) {
			all[at].List.RecordCrash(time.Now(), quarantine.Fingerprint{n}, quarantine.Origin{Send: "s"})
			time.Sleep(time.Millisecond)
		}
		heartbeat()
		is.Equal(calls.Load(), int64(0)) // both are empty
		all["a"].Compare("b", 0)
		time.Sleep(time.Second)
		is.Equal(calls.Load(), int64(0))
		for i := range 20 {
			crash("b", byte(i))
		}
		n.cut[[2]id.Instance{"a", "b"}] = true
		heartbeat()
		is.Equal(len(all["a"].List.Entries(time.Now())), 0)
		n.cut[[2]id.Instance{"a", "b"}] = false
		heartbeat()
		heartbeat()
		is.Equal(calls.Load(), int64(1))
		is.Equal(len(all["a"].List.Entries(time.Now())), 20)
		crash("a", 100)
		heartbeat()
		heartbeat()
		is.Equal(calls.Load(), int64(2)) // b lacks a report and gets it
		is.Equal(len(all["b"].List.Entries(time.Now())), 21)
		crash("b", 101)
		heartbeat()
		heartbeat()
		is.Equal(calls.Load(), int64(3))
		is.Equal(len(all["a"].List.Entries(time.Now())), 22)
	})
}

// FuzzTell looks for a message that is rejected but has been applied.
func FuzzTell(f *testing.F) {
	f.Add(`{"news":[{"fingerprint":"00112233445566778899aabbccddeeff","send":"a","instance":"entry-1","service":"registry","class":"lookup","at":"2026-12-03T22:00:00Z"}]}`)
	f.Add(`{"news":[{"fingerprint":"00"}]}`)
	f.Add(`{"tell":["entry-1"],"news":[{"lifted":true}]}`)
	f.Fuzz(func(t *testing.T, params string) {
		n := newNetwork()
		all := connect(n, "a")
		_, err := n.handlers["a"][crashreports.MethodReport](t.Context(), peer.Sender{}, json.RawMessage(params))
		if err != nil && len(all["a"].List.Entries(time.Now())) > 0 {
			t.Error("a rejected message was applied")
		}
	})
}
