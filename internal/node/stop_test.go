package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/roster"
)

// recordingServer is a backend server that records the ids of the requests it gets.
type recordingServer struct {
	*httptest.Server
	delay time.Duration
	slow  time.Duration // of requests for /x/slow
	seen  sync.Map      // id to true
}

func newRecordingServer(t *testing.T, delay time.Duration) *recordingServer {
	t.Helper()
	s := &recordingServer{delay: delay}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.seen.Store(r.Header.Get("X-Id"), true)
		_, _ = io.Copy(io.Discard, r.Body)
		delay := s.delay
		if r.URL.Path == "/x/slow" {
			delay = s.slow
		}
		time.Sleep(delay)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "s")
		_, _ = io.WriteString(w, r.Header.Get("X-Id"))
	}))
	t.Cleanup(s.Close)
	return s
}

// run starts the node with one server. The returned function stops it and waits for
// its end.
func run(t *testing.T, n *node.Node, server string) (stop func() error) {
	t.Helper()
	n.Configure(configOf(1, "/x/"))
	n.Roster.Put(time.Now(), roster.Server{Name: "i-1", Service: svc, Address: server, Slots: 1000})
	n.MarkServersListed()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	for range 100 {
		if c, err := net.Dial("tcp", n.Self().Callers.String()); err == nil {
			c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return func() error {
		cancel()
		return <-ended
	}
}

// keepSending sends requests on kept connections until the entry accepts none, with a
// pause between two. It calls lost for each request that isn't answered.
func keepSending(addr netip.AddrPort, name string, pause time.Duration, lost func(reqID string)) {
	for k := 0; ; k++ {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		for open := true; open; k++ {
			reqID := fmt.Sprintf("%s-%d", name, k)
			_, err := fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\none", reqID)
			if err == nil {
				open, err = readOwnAnswer(br, reqID)
			}
			if err != nil {
				lost(reqID)
				break
			}
			time.Sleep(pause)
		}
		c.Close()
	}
}

// readOwnAnswer reads the answer to a request. It reports whether the connection stays
// open.
func readOwnAnswer(br *bufio.Reader, reqID string) (open bool, err error) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && string(body) != reqID {
		err = fmt.Errorf("the answer belongs to %q", body)
	}
	return !resp.Close, err
}

// A request that was passed on to a server must be answered, at whichever moment of a
// shutdown it comes on a kept connection.
func TestShutdownLosesNoRequestOnKeptConnections(t *testing.T) {
	pauses := map[string]time.Duration{
		"busy":  0,
		"calm":  50 * time.Millisecond,
		"quiet": 1100 * time.Millisecond, // longer than the time in which requests are still served
	}
	for name, pause := range pauses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newRecordingServer(t, 2*time.Millisecond)
			n := newNode(t)
			stop := run(t, n, server.Listener.Addr().String())
			var passedOn, crossed atomic.Int64
			var wg sync.WaitGroup
			for k := range 40 {
				wg.Go(func() {
					time.Sleep(time.Duration(k) * pause / 40)
					keepSending(n.Self().Callers, fmt.Sprintf("%s-%d", name, k), pause, func(reqID string) {
						if _, ok := server.seen.Load(reqID); ok {
							passedOn.Add(1)
							return
						}
						crossed.Add(1)
					})
				})
			}
			time.Sleep(200 * time.Millisecond)
			is.NoErr(stop())
			wg.Wait()
			is.Equal(passedOn.Load(), int64(0))
			t.Logf("%d requests crossed the close of their connection", crossed.Load())
		})
	}
}

// A request that runs at the end of the time in which requests are served, and one that
// came last in it, must be answered within the grace period.
func TestShutdownWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	server := newRecordingServer(t, grace/4)
	n := newNode(t)
	stop := run(t, n, server.Listener.Addr().String())
	var answered, sent atomic.Int64
	var wg sync.WaitGroup
	for k := range 20 {
		wg.Go(func() {
			time.Sleep(time.Duration(k) * grace / 50) // up to 0.4 of the grace period
			c, err := net.Dial("tcp", n.Self().Callers.String())
			if err != nil {
				return
			}
			defer c.Close()
			sent.Add(1)
			_, _ = fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r-%d\r\nContent-Length: 3\r\n\r\none", k)
			if _, err := readOwnAnswer(bufio.NewReader(c), fmt.Sprintf("r-%d", k)); err == nil {
				answered.Add(1)
			}
		})
	}
	is.NoErr(stop())
	wg.Wait()
	is.Equal(sent.Load(), int64(20))
	is.Equal(answered.Load(), sent.Load())
}

// A request that may last longer than the process must be refused, not passed on and cut at
// the end of the grace period, unless it came soon after the start of the shutdown.
func TestShutdownRefusesRequestsThatMayOutliveTheProcess(t *testing.T) {
	const (
		longGrace = 8 * time.Second
		late      = 3 * time.Second // while new connections are still accepted
	)
	tests := map[string]struct {
		after     time.Duration // the start of the shutdown
		left      time.Duration
		bodyAfter time.Duration // the head
		status    int
	}{
		"long, soon":                {100 * time.Millisecond, 10 * time.Second, 0, http.StatusOK},
		"long, late":                {late, 10 * time.Second, 0, http.StatusServiceUnavailable},
		"short, late":               {late, time.Second, 0, http.StatusOK},
		"long, soon, its body late": {late - time.Second, 10 * time.Second, time.Second, http.StatusServiceUnavailable},
	}
	server := newRecordingServer(t, 2*time.Millisecond)
	n := newNode(t)
	n.SetBounds(node.Bounds{Grace: longGrace})
	stop := run(t, n, server.Listener.Addr().String())
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	began := time.Now()
	var wg sync.WaitGroup
	for name, tt := range tests {
		wg.Go(func() {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				time.Sleep(time.Until(began.Add(tt.after)))
				c, err := net.Dial("tcp", n.Self().Callers.String())
				is.NoErr(err)
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(longGrace))
				reqID := strings.ReplaceAll(name, " ", "-")
				_, err = fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Left: %d\r\nContent-Length: 3\r\n\r\n", reqID, tt.left.Milliseconds())
				is.NoErr(err)
				time.Sleep(tt.bodyAfter)
				_, err = io.WriteString(c, "one")
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				_, _ = io.Copy(io.Discard, resp.Body)
				is.Equal(resp.StatusCode, tt.status)
				_, ran := server.seen.Load(reqID)
				is.Equal(ran, tt.status == http.StatusOK)
				if tt.status != http.StatusOK {
					is.True(resp.Close)
					is.True(resp.Header.Get("Retry-After") != "")
				}
			})
		})
	}
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// A shutdown must wait for the rest of an upload that its server has accepted early.
func TestShutdownSendsAcceptedUploadsToTheirEnd(t *testing.T) {
	is := is.New(t)
	const length = 400_000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	got := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.CopyN(io.Discard, r.Body, 32<<10)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signed: s\r\nContent-Length: 3\r\n\r\nr-1")
		time.Sleep(7 * grace / 10) // longer than new requests are served
		rest, _ := io.Copy(io.Discard, r.Body)
		got <- n + rest
	}()
	n := newNode(t)
	stop := run(t, n, l.Addr().String())
	c, err := net.Dial("tcp", n.Self().Callers.String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r-1\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
	is.NoErr(err)
	_, err = readOwnAnswer(bufio.NewReader(c), "r-1")
	is.NoErr(err)
	is.NoErr(stop())
	select {
	case n := <-got:
		is.Equal(n, int64(length))
	case <-time.After(100 * time.Millisecond):
		t.Fatal("the process would have exited before the server had the whole upload")
	}
}

// Guards against a request that comes late in the grace period being taken, passed on and then
// cut at its end without an answer, on new and on kept connections, whatever its deadline.
func TestShutdownCutsNoRequestThatCameLate(t *testing.T) {
	t.Parallel()
	const (
		longGrace = 10 * time.Second
		// work is more than the rest of the grace period when the entry stops listening.
		work = 6900 * time.Millisecond
		// late is how long after the start of a shutdown a request may be sent that is cut
		// because its server is still at work at the end of the grace period.
		late = 3 * time.Second
		step = 250 * time.Millisecond
	)
	server := newRecordingServer(t, 2*time.Millisecond)
	server.slow = work
	n := newNode(t)
	n.SetBounds(node.Bounds{Grace: longGrace})
	stop := run(t, n, server.Listener.Addr().String())
	var kept []net.Conn // opened before the shutdown
	for range int(longGrace / step) {
		c, err := net.Dial("tcp", n.Self().Callers.String())
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, c)
	}
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	began := time.Now()
	var (
		wg                    sync.WaitGroup
		served, refused, lost atomic.Int64
	)
	send := func(c net.Conn, after time.Duration, reqID string, left time.Duration) {
		defer c.Close()
		_ = c.SetDeadline(began.Add(longGrace)) // when the process would have ended
		path := "1"
		if after >= late && left > longGrace {
			path = "slow"
		}
		_, err := fmt.Fprintf(c, "POST /x/%s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Left: %d\r\nContent-Length: 3\r\n\r\none", path, reqID, left.Milliseconds())
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		_, ran := server.seen.Load(reqID)
		switch {
		case err != nil && ran && after >= late:
			t.Errorf("%s was passed on and cut: %v", reqID, err)
		case err != nil:
			lost.Add(1) // crossed the close of its connection, or came soon
		case resp.StatusCode == http.StatusOK:
			served.Add(1)
		case resp.StatusCode == http.StatusServiceUnavailable:
			refused.Add(1)
			if ran {
				t.Errorf("%s was passed on and refused", reqID)
			}
		}
	}
	for i := range kept {
		after, left := time.Duration(i)*step, 20*time.Second
		if i%3 == 2 {
			left = time.Second
		}
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(after)))
			send(kept[i], after, fmt.Sprintf("kept-%v", after), left)
		})
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(after)))
			if c, err := net.Dial("tcp", n.Self().Callers.String()); err == nil {
				send(c, after, fmt.Sprintf("new-%v", after), left)
			}
		})
	}
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	t.Logf("%d served, %d refused, %d without an answer", served.Load(), refused.Load(), lost.Load())
	if served.Load() < 10 || refused.Load() < 1 {
		t.Error("too few requests were served, or none was refused")
	}
}
