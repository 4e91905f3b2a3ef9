package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/upstream"
)

// pause is longer than the kernel waits for a server that takes no data of a short request.
const pause = 900 * time.Millisecond

// pausingServer takes the first part of a body, pauses and takes the rest. It answers before
// the pause, or after the rest. It sends the number of bytes that it got to got.
func pausingServer(t *testing.T, early bool, got chan<- int64) string {
	t.Helper()
	return serve(t, func(_ int, c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		answer := func() { _, _ = io.WriteString(c, ok(r.Header.Get(idHeader), "one")) }
		n, _ := io.CopyN(io.Discard, r.Body, 32<<10)
		if early {
			answer()
		}
		time.Sleep(pause)
		rest, _ := io.Copy(io.Discard, r.Body)
		if !early {
			answer()
		}
		got <- n + rest
	})
}

// A body must arrive whole though its server answers, or pauses for long, before it has
// taken all of it.
func TestBodiesArriveWholeAtServersThatPause(t *testing.T) {
	tests := map[string]struct{ early, kept bool }{
		"answered early":                     {true, true},
		"answered early, read from a caller": {true, false},
		"answered at the end":                {false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const length = 8 << 20 // more than the kernel buffers
			got := make(chan int64, 1)
			addr := pausingServer(t, tt.early, got)
			c := newClient()
			r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", strings.NewReader(strings.Repeat("x", length)))
			is.NoErr(err)
			r.Header.Set(idHeader, "a")
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			start := time.Now()
			ans, err := c.Send(ctx, &upstream.Request{Server: "i-1", Address: addr, HTTP: r, ID: "a", BodyKept: tt.kept})
			is.NoErr(err)
			_, err = io.ReadAll(ans.Body)
			is.NoErr(err)
			ans.Close()
			cancel() // the request has ended
			if tt.early {
				is.Equal(time.Since(start) < pause, tt.kept) // Close returns at once if it may
			}
			is.Equal(<-got, int64(length))
			c.Wait(t.Context())
		})
	}
}

// A body whose caller stops sending must not hold the connection for long after the answer.
func TestBodyThatEndsNeverIsGivenUpAfterTheAnswer(t *testing.T) {
	is := is.New(t)
	addr := pausingServer(t, true, make(chan int64, 1))
	body, caller := io.Pipe()
	defer caller.Close()
	go func() { _, _ = caller.Write(make([]byte, 64<<10)) }()
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", body)
	is.NoErr(err)
	r.ContentLength = 1 << 20
	r.Header.Set(idHeader, "a")
	ans, err := newClient().Send(t.Context(), &upstream.Request{Server: "i-1", Address: addr, HTTP: r, ID: "a"})
	is.NoErr(err)
	_, err = io.ReadAll(ans.Body)
	is.NoErr(err)
	start := time.Now()
	ans.Close()
	took := time.Since(start)
	is.True(took > 4*time.Second && took < 8*time.Second)
}

// A body that a server accepted and that didn't arrive must be reported, one that arrived
// must not.
func TestUndeliveredBodiesAreReported(t *testing.T) {
	tests := map[string]struct {
		after    func(net.Conn, io.Reader) // the early answer
		reported bool
	}{
		"all of it taken later": {func(_ net.Conn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) }, false},
		"connection closed":     {func(net.Conn, io.Reader) {}, true},
		"connection reset": {func(c net.Conn, _ io.Reader) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}, true},
		"nothing more taken": {func(net.Conn, io.Reader) { time.Sleep(7 * time.Second) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			addr := serve(t, func(_ int, c net.Conn) {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, r.Body, 32<<10)
				_, _ = io.WriteString(c, ok(r.Header.Get(idHeader), "one"))
				time.Sleep(50 * time.Millisecond)
				tt.after(c, r.Body)
			})
			c := newClient()
			r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", strings.NewReader(strings.Repeat("x", 8<<20)))
			is.NoErr(err)
			r.Header.Set(idHeader, "a")
			reported := make(chan error, 1)
			ans, err := c.Send(t.Context(), &upstream.Request{
				Server: "i-1", Address: addr, HTTP: r, ID: "a", BodyKept: true, Undelivered: func(err error) { reported <- err },
			})
			is.NoErr(err)
			_, err = io.ReadAll(ans.Body)
			is.NoErr(err)
			ans.Close()
			c.Wait(t.Context())
			select {
			case err := <-reported:
				is.True(tt.reported)
				is.True(err.Error() != "")
			default:
				is.True(!tt.reported)
			}
		})
	}
}
