package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/backend"
	"github.com/shallotpier/shallotpier/internal/simclock"
	standin "github.com/shallotpier/shallotpier/internal/standin/backend"
	"github.com/shallotpier/shallotpier/internal/standin/pipe"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// Ways in which a connection fails.
const (
	noFault fault = iota
	closed
	reset
	silent
)

type (
	fault int

	// cut is a connection fault after a number of bytes: of those written if
	// read is negative, otherwise of those read.
	cut struct {
		fault         fault
		written, read int
	}

	cutConn struct {
		net.Conn
		mu            sync.Mutex
		cut           cut
		written, read int
		closed        chan struct{}
		once          sync.Once
	}

	// sendRecord is the outcome of one request, at the client and in the
	// server's record, and the bytes on its connection.
	sendRecord struct {
		code          result.Code
		started, ran  int
		written, read int
	}
)

func (c *cutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	left := len(p)
	if c.cut.fault != noFault && c.cut.read < 0 {
		left = min(left, c.cut.written-c.written)
	}
	c.mu.Unlock()
	n, err := 0, error(nil)
	if left > 0 {
		n, err = c.Conn.Write(p[:left])
	}
	c.mu.Lock()
	c.written += n
	c.mu.Unlock()
	if err == nil && left < len(p) {
		err = c.stop()
	}
	return n, err
}

func (c *cutConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	done := c.cut.fault != noFault && c.cut.read > 0 && c.read >= c.cut.read
	c.mu.Unlock()
	if done {
		return 0, c.stop()
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	limited := c.cut.fault != noFault && c.cut.read >= 0
	if limited {
		n = min(n, c.cut.read-c.read)
	}
	c.read += n
	c.mu.Unlock()
	if limited && n == 0 {
		return 0, c.stop()
	}
	return n, err
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *cutConn) stop() error {
	switch c.cut.fault {
	case silent:
		<-c.closed
		return net.ErrClosed
	case reset:
		c.Conn.Close()
		return syscall.ECONNRESET
	default:
		c.Conn.Close()
		return io.EOF
	}
}

// sendOverCutConn sends one request over a connection that fails as given by
// at. On a kept connection, bytes are counted from the end of an earlier
// request.
func sendOverCutConn(t *testing.T, form string, shed, kept bool, at cut) (got sendRecord) {
	simclock.Test(t, func(t *testing.T) {
		var n pipe.Network
		addr := netip.MustParseAddrPort("10.0.0.1:80")
		srv := &standin.Server{Name: "one"}
		l, err := n.Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		srv.Serve(l)
		var last *cutConn
		c := &backend.Client{Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			raw, err := n.Dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			last = &cutConn{Conn: raw, cut: at, closed: make(chan struct{})}
			if kept {
				last.cut = cut{}
			}
			return last, nil
		}}
		target := &service.Server{Address: addr, Slots: 1, Connections: 4}
		if kept {
			// The first request shows that the server echoes send IDs, so that
			// the connection of the second one is kept.
			sendOnce(t, c, target, "GET", "r0")
			sendOnce(t, c, target, "GET", "r0")
			synctest.Wait()
			last.mu.Lock()
			last.cut, last.written, last.read = at, 0, 0
			last.mu.Unlock()
		}
		srv.SetFaults(standin.Faults{Shed: shed})
		got.code = sendOnce(t, c, target, form, "r1")
		synctest.Wait()
		rec := srv.Record()
		got.started, got.ran = rec.Started["r1"], rec.Ran["r1"]
		got.written, got.read = last.written, last.read
		c.CloseIdle()
		srv.Close()
		time.Sleep(time.Hour)
	})
	return got
}

func sendOnce(t *testing.T, c *backend.Client, target *service.Server, form, id string) result.Code {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var req *http.Request
	switch form {
	case "GET":
		req = request("GET", "/a", id, "")
	case "POST":
		req = request("POST", "/a", id, "body")
	default:
		req = request("POST", "/a", id, "")
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader("chunks")), -1
		req.Trailer = http.Header{"X-Sum": {"1"}}
	}
	resp, err := c.Send(ctx, &backend.Request{Server: target, HTTP: req, ID: "s-" + id})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Close()
	}
	if err == nil {
		return result.Served
	}
	return codeOf(err)
}

// TestConnectionFailsAtEveryByte lets the connection fail after every byte of
// request and response, in each way, and compares the result codes with the
// server's record of the requests that ran.
func TestConnectionFailsAtEveryByte(t *testing.T) {
	tests := map[string]struct {
		form       string
		shed, kept bool
	}{
		"read":                      {form: "GET"},
		"read on a kept connection": {form: "GET", kept: true},
		"write":                     {form: "POST"},
		"write that is shed":        {form: "POST", shed: true},
		"chunked upload":            {form: "chunked"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			all := sendOverCutConn(t, tt.form, tt.shed, tt.kept, cut{})
			final := all.code
			if final != result.Served && (!tt.shed || final != result.ShedByServer) {
				t.Fatalf("without a fault: code %d, %+v", final, all)
			}
			if tt.kept {
				// The earlier request had the same size.
				is.True(all.written > 0 && all.read > 0)
			}
			for _, f := range []fault{closed, reset, silent} {
				for k := range all.written {
					got := sendOverCutConn(t, tt.form, tt.shed, tt.kept, cut{fault: f, written: k, read: -1})
					checkRan(t, got, "request", f, k)
					want := result.Unknown
					if k == 0 {
						want = result.No
					}
					if k == 0 && tt.kept && f != silent {
						want = result.Yes // over a new connection
					}
					if got.code.Ran() != want {
						t.Errorf("fault %d at byte %d of %d of the request: code %d", f, k, all.written, got.code)
					}
				}
				for k := range all.read {
					got := sendOverCutConn(t, tt.form, tt.shed, tt.kept, cut{fault: f, read: k})
					checkRan(t, got, "response", f, k)
					if got.code.Ran() == result.Yes {
						t.Errorf("fault %d at byte %d of %d of the response: it looks complete", f, k, all.read)
					}
				}
			}
		})
	}
}

// checkRan fails the test if the result code contradicts the server's record.
func checkRan(t *testing.T, got sendRecord, part string, f fault, at int) {
	t.Helper()
	ran := got.code.Ran()
	if ran == result.No && got.ran > 0 || ran == result.Yes && got.ran != 1 {
		t.Errorf("fault %d at byte %d of the %s: code %d, but the request ran %d times", f, at, part, got.code, got.ran)
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	is := is.New(t)
	c := &backend.Client{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, syscall.ECONNREFUSED }}
	code := sendOnce(t, c, &service.Server{Address: netip.MustParseAddrPort("10.0.0.1:80")}, "POST", "r1")
	is.Equal(code, result.ConnectFailed)
}
