package entry_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/admission/local"
	"github.com/shallotpier/shallotpier/internal/entry"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// outcome is the result of one request; sent and ended count from the start.
type outcome struct {
	sent, ended time.Duration
	code        result.Code
}

// TestGoodputUnderOverload offers half of the capacity, then three times the
// capacity for a minute, then half of it again, as an open-loop load: it does
// not wait for responses. In each 5 s of the overload the useful responses must
// reach 0.9 of the capacity, and 5 s after it responses must be fast again.
func TestGoodputUnderOverload(t *testing.T) {
	var sends atomic.Int64
	tests := map[string]standin.Faults{
		"healthy": {},
		"every 50th response is truncated": {Response: func(*http.Request) standin.ResponseFault {
			if sends.Add(1)%50 == 0 {
				return standin.Truncated
			}
			return standin.Intact
		}},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { overload(t, f) })
		})
	}
}

func overload(t *testing.T, faults standin.Faults) {
	const (
		work     = 200 * time.Millisecond
		servers  = 2
		capacity = float64(servers) * float64(time.Second) / float64(work)
		before   = 10 * time.Second
		minute   = time.Minute
		after    = 15 * time.Second
	)
	is := is.New(t)
	c := newPipeCluster(t, servers, 1)
	c.file.Retry = service.Retry{Attempts: 2, Budget: 0.1}
	c.file.Classes[2].Deadline = unit.Duration(2 * time.Second)
	for i := range c.file.Servers {
		c.file.Servers[i].Slots = 1
	}
	a := &local.Admitter{Entries: 1}
	a.Pool.MaxWaiting = 1000
	a.Pool.Order = func(req *admission.Request) []*service.Server {
		return []*service.Server{&req.Service.Servers[0], &req.Service.Servers[1]}
	}
	a.Configure([]*service.File{c.file})
	c.entries[0].Admitter, c.entries[0].Budget = a, new(entry.Budgets)
	faults.ExtraTime = work
	c.faults(faults)

	all := sendAll(c, capacity, before, minute, after)
	const window = 5 * time.Second
	least := 1.0
	for from := before; from < before+minute; from += window {
		useful := 0
		for _, r := range all {
			if r.code == result.Served && r.ended >= from && r.ended < from+window {
				useful++
			}
		}
		share := float64(useful) / (capacity * window.Seconds())
		least = min(least, share)
		if share < 0.9 {
			t.Errorf("from %s: useful responses are %.2f of the capacity", from, share)
		}
	}
	t.Logf("minimum share of useful responses in 5 s: %.2f", least)
	for _, r := range all {
		if r.sent >= before+minute+window && (r.code != result.Served || r.ended-r.sent > 3*work) {
			t.Errorf("sent at %s: code %d after %s", r.sent, r.code, r.ended-r.sent)
		}
	}
	for _, s := range c.servers {
		is.Equal(s.Record().MaxRunning, 1) // no slot is used by two requests at once
	}
}

func sendAll(c *cluster, capacity float64, before, minute, after time.Duration) []outcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []outcome
	started := time.Now()
	for n := 0; time.Since(started) < before+minute+after; n++ {
		sent := time.Since(started)
		wg.Go(func() {
			got := c.do(c.entries[0], "GET", "/s/registry/a", "", result.HeaderRequestID, "r"+string(rune('0'+n%10)))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, outcome{sent: sent, ended: time.Since(started), code: got.code})
		})
		rate := capacity / 2
		if sent >= before && sent < before+minute {
			rate = 3 * capacity
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
	return all
}
