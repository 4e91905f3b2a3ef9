package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/node"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// readsAndWrites is a configuration with a route for reads, /read/, and one for writes, /x/.
func readsAndWrites() *node.Config {
	c := configOf(1, "/x/")
	write := c.Routes.Match("a.example", "/x/")
	read := *write
	read.Name, read.Prefix, read.Kind, read.Attempts = "read", "/read/", service.Read, 2
	c.Routes = route.NewTable([]*route.Route{write, &read})
	return c
}

// gatedServer is a backend server that answers requests to paths that end with "held" once
// the gate is open.
type gatedServer struct {
	*httptest.Server
	gate chan struct{}
	mu   sync.Mutex
	ran  []string
	left atomic.Int64 // requests that were given up
}

func newGatedServer(t *testing.T) *gatedServer {
	t.Helper()
	s := &gatedServer{gate: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.ran = append(s.ran, r.Header.Get("X-Id"))
		s.mu.Unlock()
		if strings.HasSuffix(r.URL.Path, "held") {
			select {
			case <-s.gate:
			case <-r.Context().Done():
				s.left.Add(1)
				return
			}
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "s")
		_, _ = io.WriteString(w, r.Header.Get("X-Id"))
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *gatedServer) ranAlready(reqID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.ran {
		if other == reqID {
			return true
		}
	}
	return false
}

// awaitRun waits until a request runs, and reports whether it does.
func (s *gatedServer) awaitRun(reqID string) bool {
	for range 500 {
		if s.ranAlready(reqID) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func readRequest(path, reqID string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Left: 5000\r\n\r\n", path, reqID)
}

func writeRequest(path, reqID string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Left: 5000\r\nContent-Length: 3\r\n\r\none", path, reqID)
}

// Reads that are sent ahead must reach a server while those before them are at work. A write
// must wait for the answers before it, and reads behind it for its own.
func TestRequestsSentAheadReachServers(t *testing.T) {
	is := is.New(t)
	server := newGatedServer(t)
	n := newNode(t)
	stop := run(t, n, server.Listener.Addr().String())
	n.Configure(func() *node.Config { c := readsAndWrites(); c.Version = 2; return c }())
	c, err := net.Dial("tcp", n.Self().Callers.String())
	is.NoErr(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(c, readRequest("/read/held", "r-1")+readRequest("/read/a", "r-2")+writeRequest("/x/a", "w-3")+readRequest("/read/b", "r-4"))
	is.NoErr(err)
	is.True(server.awaitRun("r-1"))
	is.True(server.awaitRun("r-2"))
	time.Sleep(50 * time.Millisecond)
	is.True(!server.ranAlready("w-3"))
	is.True(!server.ranAlready("r-4"))
	close(server.gate)
	br := bufio.NewReader(c)
	for _, reqID := range []string{"r-1", "r-2", "w-3", "r-4"} {
		open, err := readOwnAnswer(br, reqID)
		is.NoErr(err)
		is.True(open)
	}
	is.NoErr(stop())
}

// The work of servers on all requests of a caller that leaves must end.
func TestCallerThatLeavesEndsAllItsReads(t *testing.T) {
	is := is.New(t)
	server := newGatedServer(t)
	n := newNode(t)
	stop := run(t, n, server.Listener.Addr().String())
	n.Configure(func() *node.Config { c := readsAndWrites(); c.Version = 2; return c }())
	c, err := net.Dial("tcp", n.Self().Callers.String())
	is.NoErr(err)
	for k := range 3 {
		_, err = io.WriteString(c, readRequest("/read/held", fmt.Sprintf("r-%d", k)))
		is.NoErr(err)
		is.True(server.awaitRun(fmt.Sprintf("r-%d", k)))
	}
	is.NoErr(c.Close())
	for end := time.Now().Add(5 * time.Second); server.left.Load() < 3; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end)) // servers are still at work
	}
	is.NoErr(stop())
}

// A read that was sent ahead and passed on to a server must be answered, at whichever moment
// of a shutdown it comes.
func TestShutdownLosesNoRequestSentAhead(t *testing.T) {
	is := is.New(t)
	server := newRecordingServer(t, 20*time.Millisecond)
	n := newNode(t)
	stop := run(t, n, server.Listener.Addr().String())
	n.Configure(func() *node.Config { c := readsAndWrites(); c.Version = 2; return c }())
	var answered, lost atomic.Int64
	var wg sync.WaitGroup
	for k := range 40 {
		wg.Go(func() {
			for batch := 0; ; batch++ {
				c, err := net.Dial("tcp", n.Self().Callers.String())
				if err != nil {
					return
				}
				br, open := bufio.NewReader(c), true
				for ; open; batch++ {
					var ids []string
					var stream strings.Builder
					for i := range 4 {
						ids = append(ids, fmt.Sprintf("%d-%d-%d", k, batch, i))
						stream.WriteString(readRequest("/read/a", ids[i]))
					}
					_, _ = io.WriteString(c, stream.String())
					for _, reqID := range ids {
						if open {
							open, err = readOwnAnswer(br, reqID)
							if err == nil {
								answered.Add(1)
								continue
							}
							open = false
						}
						if _, ran := server.seen.Load(reqID); ran {
							lost.Add(1)
						}
					}
				}
				_ = c.Close()
			}
		})
	}
	for end := time.Now().Add(30 * time.Second); answered.Load() <= 1000; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.NoErr(stop())
	wg.Wait()
	is.Equal(lost.Load(), int64(0))
}

// One caller's requests that are sent ahead must not keep the connections of others open
// during a shutdown: what arrives on them late is cut at the end of the grace period.
func TestShutdownClosesIdleConnectionsBesideRequestsSentAhead(t *testing.T) {
	callers := func(n *node.Node) string { return n.Self().Callers.String() }
	tests := map[string]struct {
		address func(*node.Node) string
		header  string
		change  func(*node.Options)
		during  func(*node.Node) // the shutdown
	}{
		"of a caller": {callers, "", nil, nil},
		"of another entry": {
			func(n *node.Node) string { return n.Self().Relay.String() },
			"Shallotpier-Relay-Sends: 0\r\nShallotpier-Relay-Version: 1\r\n", nil, nil,
		},
		"while the store is away": {callers, "", func(o *node.Options) { o.OnShutdown = func() { time.Sleep(3 * grace) } }, nil},
		"while settings and configuration change": {callers, "", nil, func(n *node.Node) {
			n.SetBounds(node.Bounds{Grace: time.Hour})
			c := readsAndWrites()
			c.Version, c.IdleTimeout = 3, time.Hour
			n.Configure(c)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := newGatedServer(t)
			var change []func(*node.Options)
			if tt.change != nil {
				change = append(change, tt.change)
			}
			n := newNode(t, change...)
			n.SetBounds(node.Bounds{Grace: 2 * grace})
			stop := run(t, n, server.Listener.Addr().String())
			n.Configure(func() *node.Config { c := readsAndWrites(); c.Version, c.IdleTimeout = 2, time.Minute; return c }())
			idle, err := net.Dial("tcp", tt.address(n))
			is.NoErr(err)
			defer idle.Close()
			_ = idle.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = io.WriteString(idle, strings.Replace(readRequest("/read/a", "r-0"), "\r\n\r\n", "\r\n"+tt.header+"\r\n", 1))
			is.NoErr(err)
			idleReader := bufio.NewReader(idle)
			open, err := readOwnAnswer(idleReader, "r-0")
			is.NoErr(err)
			is.True(open)
			ahead, err := net.Dial("tcp", n.Self().Callers.String())
			is.NoErr(err)
			defer ahead.Close()
			_, err = io.WriteString(ahead, readRequest("/read/held", "r-1")+readRequest("/read/held", "r-2"))
			is.NoErr(err)
			is.True(server.awaitRun("r-1"))
			is.True(server.awaitRun("r-2"))
			stopped := make(chan error, 1)
			began := time.Now()
			go func() { stopped <- stop() }()
			if tt.during != nil {
				time.Sleep(grace / 4)
				tt.during(n)
			}
			_ = idle.SetReadDeadline(time.Now().Add(3 * grace / 2)) // sooner than the end of the grace period
			_, err = idleReader.ReadByte()
			is.Equal(err, io.EOF) // the connection has been closed
			close(server.gate)
			br := bufio.NewReader(ahead)
			for _, reqID := range []string{"r-1", "r-2"} {
				_, err := readOwnAnswer(br, reqID)
				is.NoErr(err)
			}
			is.NoErr(<-stopped)
			is.True(time.Since(began) < 2*grace)
		})
	}
}

// Writes that are sent ahead must be answered in a shutdown, also those that wait for others
// of their connection when new requests are no longer served.
func TestShutdownAnswersWritesSentAhead(t *testing.T) {
	is := is.New(t)
	server := newGatedServer(t)
	n := newNode(t)
	stop := run(t, n, server.Listener.Addr().String())
	c, err := net.Dial("tcp", n.Self().Callers.String())
	is.NoErr(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(c, writeRequest("/x/held", "w-1")+writeRequest("/x/a", "w-2")+writeRequest("/x/a", "w-3")+writeRequest("/x/a", "w-4"))
	is.NoErr(err)
	is.True(server.awaitRun("w-1"))
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	time.Sleep(grace / 2) // new connections are refused by now
	close(server.gate)
	br := bufio.NewReader(c)
	for _, reqID := range []string{"w-1", "w-2", "w-3", "w-4"} {
		open, err := readOwnAnswer(br, reqID)
		is.NoErr(err)
		is.Equal(open, reqID != "w-4")
	}
	is.NoErr(<-stopped)
}
