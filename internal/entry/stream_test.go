package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	"github.com/shallotpier/shallotpier/internal/simclock"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// TestUploadIsStreamed checks that a request reaches the backend server before
// the caller has sent its whole body.
func TestUploadIsStreamed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	started := make(chan struct{})
	c.faults(standin.Faults{Crash: func(*http.Request) bool { close(started); return false }})
	body, feed := io.Pipe()
	go func() {
		_, _ = io.WriteString(feed, "first")
		<-started
		_, _ = io.WriteString(feed, "last")
		feed.Close()
	}()
	req, err := http.NewRequest("PUT", c.entries[0].http.URL+"/s/registry/bundle", body)
	is.NoErr(err)
	req.Header.Set(result.HeaderRequestID, "r1")
	resp, err := (&http.Transport{}).RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(got), "r1 server-1 9\n")
}

// TestGracefulShutdownFinishesUploads shuts all entries down in turn while each
// forwards an upload that takes 20 minutes.
func TestGracefulShutdownFinishesUploads(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newPipeCluster(t, 1, 3)
		var wg sync.WaitGroup
		for i, e := range c.entries {
			wg.Go(func() {
				id := fmt.Sprint("upload-", i)
				req, err := http.NewRequest("PUT", e.http.URL+"/s/registry/bundle", io.NopCloser(&slowUpload{left: 60}))
				is.NoErr(err)
				req.Header.Set(result.HeaderRequestID, id)
				resp, err := c.transport().RoundTrip(req)
				is.NoErr(err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), id+" server-1 61440\n")
			})
		}
		started := time.Now()
		for _, e := range c.entries {
			time.Sleep(time.Minute)
			go func() { _ = e.http.Config.Shutdown(t.Context()) }()
		}
		wg.Wait()
		is.True(time.Since(started) >= 20*time.Minute)
	})
}

// pacedAdmitter issues permits that limit the rate of request bodies.
type pacedAdmitter struct {
	firstFree
	rate int // in bytes per second
}

type pacedPermit struct {
	admission.Permit
	start time.Time
	rate  int
	taken int
}

func (a pacedAdmitter) Admit(ctx context.Context, req *admission.Request) (admission.Permit, error) {
	p, err := a.firstFree.Admit(ctx, req)
	return &pacedPermit{Permit: p, start: time.Now(), rate: a.rate}, err
}

func (p *pacedPermit) Next(now time.Time, want int) (int, time.Duration) {
	n := min(want, int(now.Sub(p.start).Seconds()*float64(p.rate))-p.taken)
	p.taken += n
	return n, 100 * time.Millisecond
}

// TestUploadIsPaced sends 1 MiB at 100 KiB/s.
func TestUploadIsPaced(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newPipeCluster(t, 1, 1)
		c.entries[0].Admitter = pacedAdmitter{firstFree: firstFree{c}, rate: 100 << 10}
		started := time.Now()
		got := c.do(c.entries[0], "PUT", "/s/registry/bundle", strings.Repeat("x", 1<<20))
		is.Equal(got.code, result.Served)
		took := time.Since(started)
		is.True(took > 10*time.Second && took < 11*time.Second)
	})
}

// slowUpload yields 1 KiB at a time after a pause of 20 s, as over a weak
// mobile signal.
type slowUpload struct{ left int }

func (s *slowUpload) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Second)
	s.left--
	clear(p[:1024])
	return 1024, nil
}

// TestStalledCallerIsDisconnected has a caller that stops reading in the middle
// of its response.
func TestStalledCallerIsDisconnected(t *testing.T) {
	simclock.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newPipeCluster(t, 1, 1)
		c.file.Classes[2].Deadline = unit.Duration(time.Hour)
		req, err := http.NewRequest("GET", c.entries[0].http.URL+"/s/registry/a?size=10000000", nil)
		is.NoErr(err)
		started := time.Now()
		resp, err := c.transport().RoundTrip(req)
		is.NoErr(err)
		defer resp.Body.Close()
		time.Sleep(2 * time.Minute)
		c.mu.Lock()
		defer c.mu.Unlock()
		is.Equal(len(c.outcomes), 1)
		is.Equal(c.outcomes[0].Code, result.CallerGone)
		is.True(time.Since(started) < time.Hour)
	})
}

func TestChunkedBodyOverLimitIsRejected(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	req, err := http.NewRequest("POST", c.entries[0].http.URL+"/s/registry/a", io.LimitReader(zeros{}, 1<<20))
	is.NoErr(err)
	req.ContentLength = -1
	req.Header.Set(result.HeaderRequestID, "r1")
	resp, err := (&http.Transport{}).RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get(result.HeaderCode), result.BodyOverLimit.String())
	is.Equal(c.ran("r1"), 0)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// BenchmarkUpload sends 1 GiB through an entry. Caller, entry and backend
// server share the process, so heapMiB is an upper bound of the heap that the
// upload needs in the entry.
func BenchmarkUpload(b *testing.B) {
	const size = 1 << 30
	c := newCluster(&testing.T{}, 1, 1)
	b.SetBytes(size)
	var peak uint64
	for b.Loop() {
		before := heap(true)
		var stop atomic.Bool
		done := make(chan struct{})
		go func() {
			defer close(done)
			for !stop.Load() {
				peak = max(peak, heap(false)-min(before, heap(false)))
				time.Sleep(5 * time.Millisecond)
			}
		}()
		req, _ := http.NewRequest("PUT", c.entries[0].http.URL+"/s/registry/bundle", io.LimitReader(zeros{}, size))
		req.ContentLength = size
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		if resp.Header.Get(result.HeaderCode) != result.Served.String() {
			b.Fatal(resp.Header)
		}
		resp.Body.Close()
		stop.Store(true)
		<-done
	}
	b.ReportMetric(float64(peak)/(1<<20), "heapMiB")
}

// BenchmarkRead sends small reads through an entry.
func BenchmarkRead(b *testing.B) {
	c := newCluster(&testing.T{}, 1, 1)
	client := &http.Transport{MaxIdleConnsPerHost: 100}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest("GET", c.entries[0].http.URL+"/s/registry/a", nil)
			resp, err := client.RoundTrip(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}

func heap(collect bool) uint64 {
	if collect {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
