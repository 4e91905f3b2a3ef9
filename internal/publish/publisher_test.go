package publish_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/publish"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/internal/standin/platform"
	"github.com/shallotpier/shallotpier/internal/store"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// file returns a service file that passes all checks.
func file(name id.Service, slots int) service.File {
	return service.File{
		Service:   name,
		Regions:   []service.Region{{Name: "east", Weight: 1, HeadroomFloor: 0.5}},
		ShiftCap:  service.ShiftCap{Rise: 10, Window: unit.Duration(time.Second)},
		DrainTime: unit.Duration(time.Minute),
		Retry:     service.Retry{Attempts: 1},
		Classes: []service.Class{{Name: "lookup", Kind: service.Read, Methods: []string{"GET"}, PathPrefix: "/",
			Deadline: unit.Duration(time.Second), BodyLimit: unit.KiB}},
		Servers: []service.Server{
			{Name: "s-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "east-a", Slots: slots, Connections: 400},
			{Name: "s-2", Address: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "east-a", Slots: slots, Connections: 400},
		},
	}
}

func submission(slots int) publish.Submission {
	return publish.Submission{Files: []service.File{file("registry", slots)}}
}

// attempt is a submission with the outcome that its publisher observed.
type attempt struct {
	draft   *publish.Draft
	outcome *publish.Outcome
}

// run publishes once and stops after the given time.
func run(s store.Store, name string, slots int, limit time.Duration) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p := &publish.Publisher{Store: s, Author: name}
	draft, out := p.Prepare(ctx, submission(slots))
	if out != nil {
		return attempt{nil, out}
	}
	return attempt{draft, p.Submit(ctx, draft)}
}

// verify compares the observed outcomes with the content of the store.
func verify(t *testing.T, s *platform.Store, attempts []attempt) {
	t.Helper()
	is := is.New(t)
	s.SetHook(nil)
	time.Sleep(time.Hour) // writes in flight take effect
	p := &publish.Publisher{Store: s}
	all, err := p.History(t.Context())
	is.NoErr(err)
	versions := map[publish.ID]id.Version{}
	for i, pub := range all {
		is.Equal(pub.Version, id.Version(i+1)) // the versions are consecutive, each with one publication
		_, duplicate := versions[pub.ID]
		is.True(!duplicate) // no publication has two versions
		versions[pub.ID] = pub.Version
	}
	for _, a := range attempts {
		if a.draft == nil {
			continue
		}
		version, published := versions[a.draft.Ticket.ID]
		is.True(!published || version == a.draft.Ticket.Version)
		switch a.outcome.Code {
		case result.Accepted:
			is.True(published)
		case result.NotYetKnown:
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			found := p.Find(ctx, a.draft.Ticket)
			cancel()
			is.Equal(found.Code == result.Accepted, published)
			if !published && all[len(all)-1].Version >= a.draft.Ticket.Version {
				is.Equal(found.Code, result.Overtaken)
			}
		default:
			is.True(!published)
		}
		if a.outcome.Code == result.Overtaken && a.outcome.Winner != nil {
			is.Equal(versions[a.outcome.Winner.ID], a.outcome.Winner.Version)
		}
	}
}

func TestVersionsAreConsecutiveAndStaleBaseIsOvertaken(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := new(platform.Store)
		is.Equal(run(s, "nino", 6, time.Second).outcome.Code, result.Accepted)
		a := run(s, "giorgi", 7, time.Second)
		is.Equal(a.outcome.String(), "accepted as version 2")
		is.Equal(a.draft.Difference[0], publish.Change{Service: "registry", Key: "servers[s-1].slots", Old: "6", New: "7"})
		is.Equal(len(a.draft.Difference), 2)
		p := &publish.Publisher{Store: s, Author: "late"}
		_, out := p.Prepare(t.Context(), publish.Submission{Remove: []id.Service{"registry"}, Base: 1})
		is.Equal(out.Code, result.Overtaken)
		is.Equal(out.Winner.Author, "giorgi")
		is.Equal(len(out.Difference), 2)
		verify(t, s, []attempt{a})
	})
}

func TestOneOfConcurrentPublishersIsAccepted(t *testing.T) {
	for _, n := range []int{2, 10} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := new(platform.Store)
				first := run(s, "first", 1, time.Second)
				s.SetFault(platform.Fault{Delay: unit.Duration(5 * time.Millisecond)}) // so that all of them prepare on version 1
				attempts := make([]attempt, n)
				done := make(chan int)
				for i := range n {
					go func() { attempts[i] = run(s, fmt.Sprint("p", i), i+2, time.Minute); done <- i }()
				}
				for range n {
					<-done
				}
				accepted := 0
				for _, a := range attempts {
					if a.outcome.Code == result.Accepted {
						accepted++
						continue
					}
					is.Equal(a.outcome.Code, result.Overtaken)
					is.Equal(a.outcome.Winner.Version, id.Version(2))
					is.True(len(a.outcome.Difference) > 0)
				}
				is.Equal(accepted, 1)
				verify(t, s, append(attempts, first))
			})
		})
	}
}

// TestOutcomeAgreesWithStoreForFaultAtEveryCall injects a fault at each store
// call of one publisher, with and without a crash of the publisher at that
// call, while others publish.
func TestOutcomeAgreesWithStoreForFaultAtEveryCall(t *testing.T) {
	faults := map[string]platform.Fault{
		"down":        {Down: true},
		"answer lost": {Lost: true},
		"very late":   {Delay: unit.Duration(10 * time.Minute)},
		"late":        {Delay: unit.Duration(time.Second)},
		"older state": {Stale: unit.Duration(time.Minute)},
	}
	const maxCalls = 8
	for name, fault := range faults {
		for _, publishers := range []int{1, 2, 10} {
			t.Run(fmt.Sprintf("%s/%d", name, publishers), func(t *testing.T) {
				for call := range maxCalls {
					for _, killed := range []bool{false, true} {
						simclock.Test(t, func(t *testing.T) { injectFault(t, fault, publishers, call, killed) })
					}
				}
			})
		}
	}
}

func injectFault(t *testing.T, fault platform.Fault, publishers, call int, killed bool) {
	s := new(platform.Store)
	time.Sleep(time.Hour)
	attempts := []attempt{run(s, "before", 1, time.Second)}
	time.Sleep(10 * time.Second) // a read with the staleness fault finds no publication
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls := 0
	s.SetHook(func(c platform.Call) platform.Fault {
		if c.From != "p0" {
			return platform.Fault{Delay: unit.Duration(3 * time.Millisecond)}
		}
		calls++
		if calls-1 < call || killed && calls-1 > call {
			return platform.Fault{}
		}
		if killed {
			cancel()
		}
		return fault
	})
	done := make(chan attempt)
	for i := range publishers {
		name := fmt.Sprint("p", i)
		go func() {
			c := &killable{Client: platform.Client{Store: s, Name: name}}
			if i == 0 {
				c.killed = ctx
			}
			done <- run(c, name, i+2, 30*time.Second)
		}()
	}
	for range publishers {
		if a := <-done; !killed || a.draft == nil || a.draft.Next.Author != "p0" {
			attempts = append(attempts, a)
		} else {
			// Only the ticket of the killed publisher is known.
			attempts = append(attempts, attempt{a.draft, &publish.Outcome{Code: result.NotYetKnown}})
		}
	}
	s.SetHook(nil)
	time.Sleep(time.Hour)
	attempts = append(attempts, run(s, "after", 50, time.Minute)) // replaces a version whose publisher may not have archived it
	verify(t, s, attempts)
}

// killable makes no store calls after the context killed has ended.
type killable struct {
	platform.Client
	killed context.Context
}

func (k *killable) Get(ctx context.Context, key string) (store.Object, error) {
	if k.killed != nil && k.killed.Err() != nil {
		return store.Object{}, store.ErrUnavailable
	}
	return k.Client.Get(ctx, key)
}

func (k *killable) Put(ctx context.Context, key string, value []byte, cond store.Condition) (store.Version, error) {
	if k.killed != nil && k.killed.Err() != nil {
		return store.Version{}, store.ErrAmbiguous
	}
	return k.Client.Put(ctx, key, value, cond)
}

func TestOutcomeDuringOutageAndAfterLostAnswer(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := new(platform.Store)
		s.SetFault(platform.Fault{Down: true})
		is.Equal(run(s, "nino", 6, time.Minute).outcome.Code, result.StoreUnavailable)
		s.SetFault(platform.Fault{})
		p := &publish.Publisher{Store: s}
		draft, _ := p.Prepare(t.Context(), submission(6))
		s.SetFault(platform.Fault{Lost: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		out := p.Submit(ctx, draft)
		is.Equal(out.Code, result.NotYetKnown)
		is.True(strings.Contains(out.String(), draft.Ticket.String()))
		s.SetFault(platform.Fault{})
		var ticket publish.Ticket
		is.NoErr(ticket.UnmarshalText([]byte(draft.Ticket.String())))
		is.Equal(p.Find(t.Context(), ticket).Code, result.Accepted)
	})
}

func TestPrepareRefusesSubmissionThatViolatesARule(t *testing.T) {
	region := func(zone id.Zone) (id.Region, bool) {
		name, _, ok := strings.Cut(string(zone), "-")
		return id.Region(name), ok
	}
	inUse := func(id.Service, id.Region) (int, bool) { return 3, true }
	tests := map[string]struct {
		rules  publish.Rules
		change func(*service.File)
		key    string
	}{
		"valid":                 {publish.Rules{Region: region, Entries: 7, InUse: inUse}, func(*service.File) {}, ""},
		"drain below deadline":  {publish.Rules{}, func(f *service.File) { f.DrainTime = 1 }, "drainTime"},
		"cap can't be divided":  {publish.Rules{Entries: 11}, func(*service.File) {}, "shiftCap"},
		"unknown zone":          {publish.Rules{Region: region}, func(f *service.File) { f.Servers[0].Zone = "nowhere" }, "servers.zone"},
		"all servers leaving":   {publish.Rules{Region: region}, func(f *service.File) { f.Servers[0].Leaving, f.Servers[1].Leaving = true, true }, "regions.headroomFloor"},
		"floor after the drain": {publish.Rules{Region: region, InUse: inUse}, func(f *service.File) { f.Servers[0].Leaving = true }, "regions.headroomFloor"},
		"invalid file":          {publish.Rules{}, func(f *service.File) { f.Retry.Attempts = 0 }, "retry.attempts"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := new(platform.Store)
			f := file("registry", 6)
			test.change(&f)
			p := &publish.Publisher{Store: s, Rules: test.rules}
			// One invalid file rejects the whole submission.
			_, out := p.Prepare(t.Context(), publish.Submission{Files: []service.File{file("evidence", 3), f}})
			if test.key == "" {
				is.True(out == nil)
				return
			}
			is.Equal(out.Code, result.RefusedByCheck)
			is.Equal(out.Problems[0].Key, test.key)
			is.Equal(s.Counts()[platform.Put], 0)
		})
	}
}
