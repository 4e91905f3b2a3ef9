package local_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/local"
	"github.com/shallotpier/shallotpier/internal/simclock"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

func file(servers ...service.Server) *service.File {
	return &service.File{Service: "registry", Servers: servers}
}

func admitter(f *service.File, entries, index, waiting int) *local.Admitter {
	a := &local.Admitter{Entries: entries, Index: index}
	a.Pool.MaxWaiting = waiting
	a.Pool.Order = func(req *admission.Request) []*service.Server {
		var order []*service.Server
		for i := range req.Service.Servers {
			order = append(order, &req.Service.Servers[i])
		}
		return order
	}
	a.Configure([]*service.File{f})
	return a
}

func request(f *service.File, within time.Duration, tried ...id.Server) *admission.Request {
	return &admission.Request{Service: f, Class: &service.Class{}, Deadline: time.Now().Add(within), Tried: tried}
}

func code(err error) result.Code {
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return 0
}

func TestAdmitterRefuses(t *testing.T) {
	server := service.Server{Name: "a", Slots: 1, Connections: 10}
	leaving := service.Server{Name: "a", Slots: 1, Connections: 10, Leaving: true}
	tests := map[string]struct {
		server  service.Server
		within  time.Duration
		tried   []id.Server
		waiting int
		held    bool
		want    result.Code
	}{
		"free slot":               {server: server, within: time.Second},
		"already tried":           {server: server, within: time.Second, tried: []id.Server{"a"}, want: result.NoServer},
		"server leaving":          {server: leaving, within: time.Second, want: result.NoServer},
		"deadline passed":         {server: server, within: 0, want: result.DeadlinePassed},
		"no slots":                {server: service.Server{Name: "a", Connections: 1}, within: time.Second, waiting: 1, want: result.NoCapacity},
		"no connections":          {server: service.Server{Name: "a", Slots: 1}, within: time.Second, waiting: 1, want: result.NoCapacity},
		"queue full":              {server: server, within: time.Second, held: true, want: result.NoCapacity},
		"slot free too late":      {server: server, within: time.Second, held: true, waiting: 1, want: result.NoCapacity},
		"slot free in time":       {server: server, within: time.Minute, held: true, waiting: 1},
		"service without servers": {server: service.Server{}, within: time.Second, want: result.NoServer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := file(tt.server)
				if name == "service without servers" {
					f.Servers = nil
				}
				a := admitter(f, 1, 0, tt.waiting)
				if tt.held {
					p, err := a.Admit(t.Context(), request(f, time.Minute))
					is.NoErr(err)
					time.AfterFunc(10*time.Second, func() { p.Release(admission.Outcome{}) })
				}
				_, err := a.Admit(t.Context(), request(f, tt.within, tt.tried...))
				is.Equal(code(err), tt.want)
				is.Equal(err == nil, tt.want == 0)
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestAdmitterServesInOrderOfArrival(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := file(service.Server{Name: "a", Slots: 1, Connections: 1})
		a := admitter(f, 1, 0, 10)
		first, err := a.Admit(t.Context(), request(f, time.Minute))
		is.NoErr(err)
		var (
			mu    sync.Mutex
			order []int
		)
		for i := range 3 {
			go func() {
				p, err := a.Admit(context.Background(), request(f, time.Minute))
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, i)
				mu.Unlock()
				p.Release(admission.Outcome{})
			}()
			synctest.Wait()
		}
		first.Release(admission.Outcome{})
		first.Release(admission.Outcome{})
		synctest.Wait()
		is.Equal(order, []int{0, 1, 2})
		is.Equal(a.Pool.Waiting("registry"), 0)
	})
}

func TestAdmitterKeepsSlotWhileServerMayRunRequest(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := file(service.Server{Name: "a", Slots: 1, Connections: 1})
		a := admitter(f, 1, 0, 10)
		p, err := a.Admit(t.Context(), request(f, time.Minute))
		is.NoErr(err)
		p.Release(admission.Outcome{Code: result.AnswerLate, RunningUntil: time.Now().Add(5 * time.Second)})
		begin := time.Now()
		_, err = a.Admit(t.Context(), request(f, time.Minute))
		is.NoErr(err)
		is.Equal(time.Since(begin), 5*time.Second)
	})
}

func TestAdmitterRefusesWaitingRequestAtDeadline(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := file(service.Server{Name: "a", Slots: 1, Connections: 1})
		a := admitter(f, 1, 0, 10)
		_, err := a.Admit(t.Context(), request(f, time.Hour))
		is.NoErr(err)
		begin := time.Now()
		_, err = a.Admit(t.Context(), request(f, 2*time.Second))
		is.Equal(code(err), result.NoCapacity)
		is.Equal(time.Since(begin), 2*time.Second)
	})
}

func TestSharesOfAllEntriesSumToSlots(t *testing.T) {
	is := is.New(t)
	f := file(service.Server{Name: "a", Slots: 6, Connections: 400})
	admitted := 0
	for i := range 7 {
		a := admitter(f, 7, i, 0)
		for {
			if _, err := a.Admit(t.Context(), request(f, time.Minute)); err != nil {
				break
			}
			admitted++
		}
	}
	is.Equal(admitted, 6)
}

func TestConfigureClosesAndReopensServers(t *testing.T) {
	is := is.New(t)
	f := file(service.Server{Name: "a", Slots: 1, Connections: 1})
	a := admitter(f, 1, 0, 0)
	a.Configure(nil)
	_, err := a.Admit(t.Context(), request(f, time.Minute))
	is.Equal(code(err), result.NoCapacity)
	a.Configure([]*service.File{f})
	_, err = a.Admit(t.Context(), request(f, time.Minute))
	is.NoErr(err)
}

func TestAdmitterRefusesImmediatelyIfDeadlineCannotBeMet(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := file(service.Server{Name: "a", Slots: 1, Connections: 1})
		a := admitter(f, 1, 0, 10)
		for range 100 {
			p, err := a.Admit(t.Context(), request(f, time.Minute))
			is.NoErr(err)
			time.Sleep(10 * time.Second)
			p.Release(admission.Outcome{})
		}
		_, err := a.Admit(t.Context(), request(f, time.Minute))
		is.NoErr(err)
		begin := time.Now()
		_, err = a.Admit(t.Context(), request(f, 9*time.Second))
		is.Equal(code(err), result.NoCapacity)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}
