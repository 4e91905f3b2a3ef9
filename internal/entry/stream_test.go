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
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/admission"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// TestUploadIsStreamed lets the backend server see a request whose caller has
// not sent it whole.
func TestUploadIsStreamed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	begun := make(chan struct{})
	w.faults(standin.Faults{Crash: func(*http.Request) bool { close(begun); return false }})
	body, feed := io.Pipe()
	go func() {
		_, _ = io.WriteString(feed, "first")
		<-begun
		_, _ = io.WriteString(feed, "last")
		feed.Close()
	}()
	req, err := http.NewRequest("PUT", w.entries[0].http.URL+"/s/registry/bundle", body)
	is.NoErr(err)
	req.Header.Set(result.HeaderRequestID, "r1")
	resp, err := (&http.Transport{}).RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(got), "r1 server-1 9\n")
}

// TestPlannedStopCutsNoUpload stops all entries in turn while each carries an
// upload over a weak signal.
func TestPlannedStopCutsNoUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPausedWorld(t, 1, 3)
		var wg sync.WaitGroup
		for i, e := range w.entries {
			wg.Go(func() {
				id := fmt.Sprint("upload-", i)
				req, err := http.NewRequest("PUT", e.http.URL+"/s/registry/bundle", io.NopCloser(&weakSignal{left: 60}))
				is.NoErr(err)
				req.Header.Set(result.HeaderRequestID, id)
				resp, err := w.transport().RoundTrip(req)
				is.NoErr(err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), id+" server-1 61440\n")
			})
		}
		started := time.Now()
		for _, e := range w.entries {
			time.Sleep(time.Minute)
			go func() { _ = e.http.Config.Shutdown(t.Context()) }()
		}
		wg.Wait()
		is.True(time.Since(started) >= 20*time.Minute)
	})
}

// pacedAdmitter permits bodies at a rate.
type pacedAdmitter struct {
	firstFree
	rate int // in bytes a second
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
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPausedWorld(t, 1, 1)
		w.entries[0].Admitter = pacedAdmitter{firstFree: firstFree{w}, rate: 100 << 10}
		started := time.Now()
		got := w.do(w.entries[0], "PUT", "/s/registry/bundle", strings.Repeat("x", 1<<20))
		is.Equal(got.code, result.Served)
		took := time.Since(started)
		is.True(took > 10*time.Second && took < 11*time.Second)
	})
}

// weakSignal sends 1 KiB at a time with pauses of 20 s.
type weakSignal struct{ left int }

func (s *weakSignal) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(20 * time.Second)
	s.left--
	clear(p[:1024])
	return 1024, nil
}

// TestCallerThatTakesNothing lets a caller stop in the middle of its answer.
func TestCallerThatTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPausedWorld(t, 1, 1)
		w.file.Classes[2].Deadline = unit.Duration(time.Hour)
		req, err := http.NewRequest("GET", w.entries[0].http.URL+"/s/registry/a?size=10000000", nil)
		is.NoErr(err)
		started := time.Now()
		resp, err := w.transport().RoundTrip(req)
		is.NoErr(err)
		defer resp.Body.Close()
		time.Sleep(2 * time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		is.Equal(len(w.outcomes), 1)
		is.Equal(w.outcomes[0].Code, result.CallerGone)
		is.True(time.Since(started) < time.Hour)
	})
}

func TestUnannouncedBodyOverItsLimit(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1)
	req, err := http.NewRequest("POST", w.entries[0].http.URL+"/s/registry/a", io.LimitReader(zeros{}, 1<<20))
	is.NoErr(err)
	req.ContentLength = -1
	req.Header.Set(result.HeaderRequestID, "r1")
	resp, err := (&http.Transport{}).RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Header.Get(result.HeaderCode), result.BodyOverLimit.String())
	is.Equal(w.ran("r1"), 0)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// BenchmarkUpload carries 1 GiB through an entry. Caller, entry and backend
// server share the process, so that heapMiB is an upper bound of what the
// upload adds to the entry.
func BenchmarkUpload(b *testing.B) {
	const size = 1 << 30
	w := newWorld(&testing.T{}, 1, 1)
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
		req, _ := http.NewRequest("PUT", w.entries[0].http.URL+"/s/registry/bundle", io.LimitReader(zeros{}, size))
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

// BenchmarkRead carries small reads.
func BenchmarkRead(b *testing.B) {
	w := newWorld(&testing.T{}, 1, 1)
	client := &http.Transport{MaxIdleConnsPerHost: 100}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest("GET", w.entries[0].http.URL+"/s/registry/a", nil)
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
