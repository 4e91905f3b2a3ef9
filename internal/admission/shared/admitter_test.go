package shared_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/shared"
	"github.com/shallotpier/shallotpier/internal/peer"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/slots/wire"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	delay    = 12 * time.Millisecond
	deadline = 2 * time.Second
	leaseFor = time.Second
)

type (
	// fleet simulates entries, the store with the home entries, and a network.
	fleet struct {
		mu      sync.Mutex
		names   []id.Instance
		entries map[id.Instance]*entry
		terms   map[wire.Bucket]id.Term
		homes   map[wire.Bucket]id.Instance
		file    *service.File
		running map[id.Server]int
		over    int
		rng     *rand.Rand
		loss    float64
		vacant  id.Zone // currently without a home entry
	}

	entry struct {
		*shared.Admitter
		fleet *fleet
		name  id.Instance
		stop  context.CancelFunc
		cut   bool
		dead  bool
	}
)

func newFleet(t *testing.T, loss float64) *fleet {
	f := &fleet{
		entries: map[id.Instance]*entry{}, terms: map[wire.Bucket]id.Term{}, homes: map[wire.Bucket]id.Instance{},
		running: map[id.Server]int{}, rng: rand.New(rand.NewPCG(1, 2)), loss: loss,
		names: []id.Instance{"e-1", "e-2", "e-3"},
		file: &service.File{
			Service: "registry",
			Classes: []service.Class{{Name: "lookup", Deadline: unit.Duration(deadline)}},
			Servers: []service.Server{
				{Name: "a", Zone: "z-1", Slots: 3, Connections: 30},
				{Name: "b", Zone: "z-1", Slots: 3, Connections: 30},
				{Name: "c", Zone: "z-2", Slots: 3, Connections: 30},
			},
		},
	}
	f.setHome("z-1", "e-1")
	f.setHome("z-2", "e-2")
	for _, name := range f.names {
		f.start(t, name)
	}
	return f
}

func (f *fleet) start(t *testing.T, name id.Instance) {
	e := &entry{fleet: f, name: name}
	e.Admitter = &shared.Admitter{
		Self:   peer.Sender{Instance: name, Incarnation: id.Incarnation(time.Now().UnixNano())},
		Caller: e, Homes: e, Entries: len(f.names),
	}
	e.Pool.MaxWaiting = 100
	e.Pool.Order = func(req *admission.Request) []*service.Server {
		var order []*service.Server
		for i := range req.Service.Servers {
			order = append(order, &req.Service.Servers[i])
		}
		return order
	}
	e.Configure([]*service.File{f.file})
	f.mu.Lock()
	f.entries[name] = e
	f.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	e.stop = stop
	go e.Run(ctx)
}

func (f *fleet) setHome(zone id.Zone, name id.Instance) {
	key := wire.Bucket{Service: "registry", Zone: zone}
	f.terms[key]++
	f.homes[key] = name
}

// Call delivers a message to another entry and returns its response.
func (e *entry) Call(ctx context.Context, to id.Instance, method string, params, out any) error {
	time.Sleep(delay)
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	e.fleet.mu.Lock()
	other := e.fleet.entries[to]
	lost, lostAnswer := e.fleet.rng.Float64() < e.fleet.loss, e.fleet.rng.Float64() < e.fleet.loss
	cut := e.cut || e.dead || other.cut || other.dead
	e.fleet.mu.Unlock()
	if lost || cut {
		<-ctx.Done()
		return eris.New("no answer")
	}
	answer, err := other.Handlers()[method](ctx, e.Self, data)
	time.Sleep(delay)
	if err != nil {
		return err
	}
	if lostAnswer {
		<-ctx.Done()
		return eris.New("no answer")
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

func (e *entry) Home(b wire.Bucket) (id.Instance, id.Term, bool) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.homes[b], e.fleet.terms[b], b.Zone != e.fleet.vacant
}

func (e *entry) Authority(b wire.Bucket) (id.Term, time.Time, bool) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.fleet.terms[b], time.Now().Add(leaseFor), e.fleet.homes[b] == e.name
}

func (e *entry) Confirmed(wire.Bucket) (id.Term, time.Time, bool) { return 0, time.Time{}, false }

func (e *entry) RequestTerm(b wire.Bucket) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.terms[b]++
}

// admit acquires a slot and counts it as running until done is called.
func (e *entry) admit(within time.Duration) (done func(), err error) {
	req := &admission.Request{Service: e.fleet.file, Class: &e.fleet.file.Classes[0], Deadline: time.Now().Add(within)}
	p, err := e.Admit(context.Background(), req)
	if err != nil {
		return nil, err
	}
	name, f := p.Server().Name, e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name]++
	if f.running[name] > p.Server().Slots {
		f.over++
	}
	return func() {
		f.mu.Lock()
		f.running[name]--
		f.mu.Unlock()
		p.Release(admission.Outcome{})
	}, nil
}

func (e *entry) kill() {
	e.fleet.mu.Lock()
	e.dead = true
	e.fleet.mu.Unlock()
	e.stop()
}

func (f *fleet) stop() {
	for _, e := range f.entries {
		e.stop()
	}
	time.Sleep(time.Minute)
}

func TestAdmitterUsesAllSlots(t *testing.T) {
	for name, loss := range map[string]float64{"no loss": 0, "a third lost": 0.33} {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, loss)
				defer f.stop()
				var all []func()
				for _, at := range f.names {
					for range 9 {
						done, err := f.entries[at].admit(time.Minute)
						is.NoErr(err)
						all = append(all, done)
					}
					_, err := f.entries[at].admit(time.Second)
					is.True(err != nil) // all 9 slots are in use
					for _, done := range all {
						done()
					}
					all = nil
				}
				is.Equal(f.over, 0)
			})
		})
	}
}

func TestSlotsAreRecoveredAfterEntryFailure(t *testing.T) {
	tests := map[string]struct{ holder, home bool }{
		"holder fails":         {holder: true},
		"home fails":           {home: true},
		"home and holder fail": {holder: true, home: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 0)
				defer f.stop()
				_, err := f.entries["e-3"].admit(time.Minute)
				is.NoErr(err)
				_, err = f.entries["e-1"].admit(time.Minute)
				is.NoErr(err)
				clear(f.running) // requests end when their entry fails
				if tt.holder {
					f.entries["e-3"].kill()
				}
				if tt.home {
					f.entries["e-1"].kill()
					f.mu.Lock()
					f.setHome("z-1", "e-2")
					f.mu.Unlock()
				}
				time.Sleep(10 * time.Second)
				free := 9
				if !tt.holder {
					free--
				}
				if !tt.home {
					free--
				}
				for range free {
					_, err := f.entries["e-2"].admit(100 * time.Millisecond)
					is.NoErr(err)
				}
				is.Equal(f.over, 0)
			})
		})
	}
}

func TestAdmitterServesWhileHomeIsDown(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0)
		defer f.stop()
		time.Sleep(time.Second)
		f.entries["e-1"].kill()
		for range 50 {
			done, err := f.entries["e-3"].admit(time.Second)
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			done()
		}
	})
}

func TestSlotsAreNeverExceededDespiteLossAndPartition(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0.1)
		defer f.stop()
		rng := rand.New(rand.NewPCG(3, 4))
		served := 0
		for step := range 3000 {
			e := f.entries[f.names[rng.IntN(3)]]
			hold := time.Duration(rng.IntN(300)) * time.Millisecond
			go func() {
				if done, err := e.admit(deadline); err == nil {
					time.Sleep(hold)
					done()
					f.mu.Lock()
					served++
					f.mu.Unlock()
				}
			}()
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			switch step {
			case 500, 1500:
				f.mu.Lock()
				f.entries["e-2"].cut = true
				f.mu.Unlock()
			case 1000, 2000:
				f.mu.Lock()
				f.entries["e-2"].cut = false
				f.mu.Unlock()
			}
		}
		time.Sleep(deadline)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.Equal(f.over, 0)
		is.True(served > 2400)
	})
}

func TestLeaveReturnsUnusedSlots(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0)
		defer f.stop()
		time.Sleep(time.Second)
		done, err := f.entries["e-1"].admit(time.Minute)
		is.NoErr(err)
		is.True(!f.entries["e-1"].UnusedReturned())
		f.entries["e-1"].Leave()
		time.Sleep(time.Second)
		is.True(f.entries["e-1"].UnusedReturned())
		f.mu.Lock()
		f.setHome("z-1", "e-2")
		f.mu.Unlock()
		time.Sleep(time.Second) // shorter than the deadline
		for range 8 {
			_, err := f.entries["e-3"].admit(200 * time.Millisecond)
			is.NoErr(err)
		}
		_, err = f.entries["e-3"].admit(200 * time.Millisecond)
		is.True(err != nil) // the ninth slot is in use at the leaving entry
		done()
		_, err = f.entries["e-3"].admit(time.Second)
		is.NoErr(err)
		is.Equal(f.over, 0)
	})
}

// A request that has been tried on all servers but one gets a slot of the
// remaining server, even if other entries hold its idle slots and the request's
// entry holds idle slots of the tried servers.
func TestAdmitterGetsSlotOfOnlyUntriedServer(t *testing.T) {
	for _, left := range []id.Server{"a", "b", "c"} {
		t.Run(string(left), func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 0)
				defer f.stop()
				time.Sleep(5 * time.Second)
				req := &admission.Request{Service: f.file, Class: &f.file.Classes[0]}
				for _, s := range f.file.Servers {
					if s.Name != left {
						req.Tried = append(req.Tried, s.Name)
					}
				}
				for _, name := range f.names {
					for range 3 {
						again := *req
						again.Deadline = time.Now().Add(deadline)
						p, err := f.entries[name].Admit(t.Context(), &again)
						is.NoErr(err)
						is.Equal(p.Server().Name, left)
						p.Release(admission.Outcome{})
						time.Sleep(time.Second)
					}
				}
			})
		})
	}
}

// A bucket without a home entry doesn't prevent an entry from getting slots of
// other buckets, even if its last home entry had many free slots.
func TestAdmitterServesWhileAnotherBucketHasNoHome(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.vacant = "z-1"
		f.mu.Unlock()
		time.Sleep(time.Second)
		for range 3 { // all slots of z-2
			_, err := f.entries["e-3"].admit(500 * time.Millisecond)
			is.NoErr(err)
		}
		is.Equal(f.over, 0)
	})
}
