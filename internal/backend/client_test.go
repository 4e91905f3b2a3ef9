package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/simclock"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/internal/standin/pipe"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

func listen(t *testing.T, s *standin.Server) *service.Server {
	t.Helper()
	addr, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return &service.Server{Name: "one", Address: addr, Slots: 6, Connections: 400}
}

func request(method, path, id, body string) *http.Request {
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, _ := http.NewRequest(method, "http://service"+path, r)
	req.GetBody = nil
	req.Header.Set(result.HeaderRequestID, id)
	return req
}

func codeOf(err error) result.Code {
	var e *backend.SendError
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// TestMalformedResponsesAreDetected sends concurrent requests to a server that
// truncates, duplicates or swaps responses. No returned response may belong to
// another request, and no truncated one may look complete.
func TestMalformedResponsesAreDetected(t *testing.T) {
	is := is.New(t)
	log.SetOutput(io.Discard) // net/http logs malformed responses
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 2))
	kinds := map[string]standin.ResponseFault{}
	srv := &standin.Server{Name: "one"}
	srv.SetFaults(standin.Faults{Response: func(r *http.Request) standin.ResponseFault {
		mu.Lock()
		defer mu.Unlock()
		kind := standin.ResponseFault(max(rng.IntN(12)-6, 0))
		kinds[r.Header.Get(result.HeaderRequestID)] = kind
		return kind
	}})
	c := &backend.Client{}
	target := listen(t, srv)
	defer c.CloseIdle()
	const workers, each = 16, 150
	complete := make([]int, workers)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range each {
				id := fmt.Sprintf("%d-%d", w, i)
				body, err := get(c, target, id)
				mu.Lock()
				kind, ran := kinds[id]
				mu.Unlock()
				switch {
				case err == nil && body == id+" one 0\n":
					complete[w]++
				case err == nil:
					t.Errorf("%s: response of another request or truncated response %q", id, body)
				case ran && codeOf(err).Ran() != result.Unknown:
					t.Errorf("%s ran, but the code is %d", id, codeOf(err))
				}
				if err == nil && (kind == standin.Truncated || kind == standin.Unframed || kind == standin.WrongSendID) {
					t.Errorf("%s: malformed response of kind %d looked complete", id, kind)
				}
			}
		})
	}
	wg.Wait()
	sum := 0
	for _, n := range complete {
		sum += n
	}
	is.True(sum > workers*each/3) // complete responses are returned
}

func get(c *backend.Client, target *service.Server, id string) (string, error) {
	resp, err := c.Send(context.Background(), &backend.Request{Server: target, HTTP: request("GET", "/a", id, ""), ID: "send-" + id})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestSendOutcomes(t *testing.T) {
	tests := map[string]struct {
		faults standin.Faults
		closed bool
		sleep  time.Duration
		code   result.Code
		ran    int
	}{
		"complete":    {ran: 1},
		"no listener": {closed: true, code: result.ConnectFailed},
		"shed":        {faults: standin.Faults{Shed: true}, code: result.ShedByServer},
		"crash":       {faults: standin.Faults{Crash: func(*http.Request) bool { return true }}, code: result.AnswerCut},
		"late":        {sleep: time.Minute, code: result.AnswerLate, ran: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				var n pipe.Network
				addr := netip.MustParseAddrPort("10.0.0.1:80")
				srv := &standin.Server{Name: "one", RunningTime: map[string]time.Duration{"/": tt.sleep}}
				srv.SetFaults(tt.faults)
				if !tt.closed {
					l, err := n.Listen(addr)
					is.NoErr(err)
					srv.Serve(l)
				}
				c := &backend.Client{Dial: n.Dial}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				resp, err := c.Send(ctx, &backend.Request{
					Server: &service.Server{Address: addr, Slots: 1, Connections: 4}, HTTP: request("POST", "/a", "r1", "body"), ID: "s1",
				})
				is.Equal(codeOf(err), tt.code)
				if err == nil {
					body, err := io.ReadAll(resp.Body)
					is.NoErr(err)
					is.Equal(string(body), "r1 one 4\n")
					resp.Close()
				}
				is.Equal(srv.Record().Ran["r1"], tt.ran)
				cancel()
				c.CloseIdle()
				srv.Close()
				time.Sleep(time.Minute) // lets the lingering connections close
			})
		})
	}
}

// readClosedConn is a connection whose peer stops reading in the middle of the
// request and responds afterwards.
type readClosedConn struct {
	net.Conn
	stopped  chan struct{}
	once     sync.Once
	response io.Reader
}

func (c *readClosedConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.stopped) })
	return len(p) / 2, syscall.EPIPE
}

func (c *readClosedConn) Read(p []byte) (int, error) {
	<-c.stopped
	time.Sleep(time.Second)
	return c.response.Read(p)
}

// TestResponseAfterServerStoppedReading guards against a write error that hides
// the response of a server that responded before it had read the whole request.
func TestResponseAfterServerStoppedReading(t *testing.T) {
	tests := map[string]struct {
		response string
		code     result.Code
	}{
		"shed":        {response: "HTTP/1.1 503 Service Unavailable\r\nShallotpier-Shed: 1\r\nContent-Length: 0\r\n\r\n", code: result.ShedByServer},
		"no response": {code: result.AnswerCut},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &backend.Client{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
					near, _ := net.Pipe()
					return &readClosedConn{Conn: near, stopped: make(chan struct{}), response: strings.NewReader(tt.response)}, nil
				}}
				_, err := c.Send(t.Context(), &backend.Request{Server: &service.Server{Slots: 1, Connections: 4}, HTTP: request("POST", "/a", "r1", "body"), ID: "s1"})
				is.Equal(codeOf(err), tt.code)
				time.Sleep(time.Minute)
			})
		})
	}
}

// slowBody yields up to 1 KiB at a time after a pause, like an upload over a
// slow mobile connection.
type slowBody struct {
	left  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), 1024, b.left)
	b.left -= n
	return n, nil
}

// TestStallTimeouts checks that stalled writes and stalled responses end the
// send, and that an upload whose caller is slow does not.
func TestStallTimeouts(t *testing.T) {
	tests := map[string]struct {
		method           string
		body             io.Reader
		silent           bool
		stalled          bool
		readStallTimeout time.Duration
		code             result.Code
		took             time.Duration
	}{
		"slow upload":                         {method: "POST", body: &slowBody{left: 30 * 1024, pause: 20 * time.Second}},
		"slow upload with read stall timeout": {method: "POST", body: &slowBody{left: 5 * 1024, pause: 20 * time.Second}, readStallTimeout: 2 * time.Second},
		"response stalls in the middle":       {method: "GET", stalled: true, readStallTimeout: 2 * time.Second, code: result.ConnectionSilent, took: 2 * time.Second},
		"write on a silent connection":        {method: "POST", body: &slowBody{left: 256 * 1024, pause: time.Millisecond}, silent: true, code: result.ConnectionSilent, took: 30 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			simclock.Test(t, func(t *testing.T) {
				is := is.New(t)
				var n pipe.Network
				addr := netip.MustParseAddrPort("10.0.0.1:80")
				srv := &standin.Server{Name: "one"}
				l, err := n.Listen(addr)
				is.NoErr(err)
				srv.Serve(l)
				if tt.silent {
					srv.SetFaults(standin.Faults{Crash: func(*http.Request) bool { srv.StallConnections(1); time.Sleep(time.Hour); return false }})
				}
				if tt.stalled {
					srv.SetFaults(standin.Faults{Response: func(*http.Request) standin.ResponseFault { return standin.Stalled }})
				}
				c := &backend.Client{Dial: n.Dial}
				req := request(tt.method, "/a", "r1", "")
				if tt.body != nil {
					req.Body, req.ContentLength = io.NopCloser(tt.body), -1
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				started := time.Now()
				resp, err := c.Send(ctx, &backend.Request{Server: &service.Server{Address: addr, Slots: 1, Connections: 4}, HTTP: req, ID: "s1", ReadStallTimeout: tt.readStallTimeout})
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					resp.Close()
				}
				is.Equal(codeOf(err), tt.code)
				if tt.took > 0 {
					took := time.Since(started)
					is.True(took >= tt.took && took < tt.took+2*time.Second)
				}
				cancel()
				c.CloseIdle()
				srv.Close()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}
