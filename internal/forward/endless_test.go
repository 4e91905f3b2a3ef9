package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const (
	// endlessCallers are the requests that get bytes without end at the same time.
	endlessCallers = 32
	// endlessMemory is what an entry may keep for each of them in bytes: an answer that it
	// buffers, twice while the buffer grows, and the buffers of two connections.
	endlessMemory = 2*(256<<10) + 128<<10
)

// Guards against an entry that keeps what a faulty server sends without end, in a head or in
// a body, until it runs out of memory and ends with the requests of all other callers.
func TestBytesWithoutEndNeedLittleMemory(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	forms := map[string]struct{ first, repeated string }{
		"no answer":                   {"", block},
		"header line":                 {okHeader + "X-Long: ", block},
		"header lines":                {okHeader, strings.Repeat("A: b\r\n", 5000)},
		"interim answers":             {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 1000)},
		"answers to other requests":   {"", strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\none", 500)},
		"body until the close":        {okHeader + "\r\n", block},
		"body in chunks":              {okHeader + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(block), block)},
		"chunk extension":             {okHeader + "Transfer-Encoding: chunked\r\n\r\n1;", block},
		"trailer":                     {okHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", block},
		"body of an error":            {"HTTP/1.1 500 Internal Server Error\r\nX-Signed: s\r\nX-Id: abc\r\n\r\n", block},
		"body of a refusal":           {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: abc\r\n\r\n", block},
		"bytes behind a whole answer": {okHeader + "Content-Length: 3\r\n\r\none", block},
	}
	for name, form := range forms {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, caller reads %t", name, reads), func(t *testing.T) {
				is := is.New(t)
				f := start(t, service.Write, "ok")
				var sent atomic.Int64
				f.serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					n, err := io.WriteString(c, form.first)
					for repeated := []byte(form.repeated); err == nil; n, err = c.Write(repeated) {
						sent.Add(int64(n))
					}
				})
				members := f.members("")
				is.Equal(len(members), 1)
				s := members[0].Server
				s.Slots = 2 * endlessCallers
				f.roster.Replace(time.Now(), []roster.Server{s})
				before := keptMemory()
				var callers sync.WaitGroup
				for range endlessCallers {
					callers.Go(func() { f.askEndless(reads) })
				}
				done, most := make(chan struct{}), uint64(0)
				go func() {
					defer close(done)
					callers.Wait()
				}()
				for ended := false; !ended; {
					select {
					case <-done:
						ended = true
					case <-time.After(10 * time.Millisecond):
						most = max(most, keptMemory())
					}
				}
				is.True(sent.Load() > endlessCallers<<10) // all were sent something
				if kept := int64(most) - int64(before); kept > endlessCallers*endlessMemory {
					t.Errorf("kept %d bytes for %d requests, want at most %d", kept, endlessCallers, endlessCallers*endlessMemory)
				}
			})
		}
	}
}

// askEndless sends a request and waits until its connection ends, or past its deadline.
func (f *fixture) askEndless(reads bool) {
	c, err := net.Dial("tcp", f.Listener.Addr().String())
	if err != nil {
		return
	}
	defer c.Close()
	const left = 300 * time.Millisecond
	_, _ = fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: abc\r\nX-Left: %d\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", left.Milliseconds())
	if !reads {
		time.Sleep(2 * left)
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * left))
	_, _ = io.Copy(io.Discard, c)
}

// keptMemory returns the bytes of the heap that aren't garbage. What is allocated while the
// garbage collector runs counts as used until the next run, so the least of several runs counts.
func keptMemory() uint64 {
	least := uint64(math.MaxUint64)
	for range 3 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		least = min(least, m.HeapAlloc)
	}
	return least
}
