package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/result"
)

const idHeader = "X-Id"

// serve starts a TCP server that calls handle with each connection and its number.
// It returns the server's address.
func serve(t *testing.T, handle func(n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(n, c)
		}
	}()
	return l.Addr().String()
}

// requests reads requests from a connection and writes the answers that answer
// returns, until it returns an empty one.
func requests(c net.Conn, answer func(n int, r *http.Request) string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		out := answer(n, r)
		if out == "" {
			return
		}
		_, _ = io.WriteString(c, out)
	}
}

func ok(reqID, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", reqID, len(body), body)
}

func newClient() *upstream.Client {
	return &upstream.Client{ConnectTimeout: time.Second, IdleTimeout: 5 * time.Second, NonIdempotentIdleTimeout: time.Second, RequestIDHeader: idHeader}
}

func send(ctx context.Context, c *upstream.Client, addr, reqID, body string) (string, error) {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+addr+"/x", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set(idHeader, reqID)
	ans, err := c.Send(ctx, &upstream.Request{Server: "i-1", Address: addr, HTTP: r, ID: reqID, Idempotent: body == ""})
	if err != nil {
		return "", err
	}
	defer ans.Close()
	b, err := io.ReadAll(ans.Body)
	return string(b), err
}

func TestAnswersAreMatchedToRequests(t *testing.T) {
	tests := map[string]struct {
		first, second string
		delay         time.Duration
	}{
		"duplicate answer":           {first: ok("a", "one") + ok("a", "one")},
		"bytes after the answer":     {first: ok("a", "one") + "garbage"},
		"late duplicate answer":      {first: ok("a", "one"), second: ok("a", "one") + ok("b", "two")},
		"interim answer":             {first: ok("a", "one"), second: "HTTP/1.1 103 Early Hints\r\n\r\n" + ok("b", "two")},
		"answer without a length":    {first: "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\none"},
		"connection: close":          {first: "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"},
		"keep-alive timeout expired": {first: "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 3\r\n\r\none"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := serve(t, func(_ int, c net.Conn) {
				requests(c, func(_ int, r *http.Request) string {
					if r.Header.Get(idHeader) == "a" {
						if !strings.Contains(tt.first, "Content-Length") {
							_, _ = io.WriteString(c, tt.first)
							return ""
						}
						return tt.first
					}
					if tt.second != "" {
						return tt.second
					}
					return ok("b", "two")
				})
			})
			c := newClient()
			got, err := send(t.Context(), c, addr, "a", "")
			is.NoErr(err)
			is.Equal(got, "one")
			got, err = send(t.Context(), c, addr, "b", "body")
			is.NoErr(err)
			is.Equal(got, "two")
		})
	}
}

func TestSendErrors(t *testing.T) {
	cut := func(out string) func(int, net.Conn) {
		return func(_ int, c net.Conn) {
			requests(c, func(int, *http.Request) string {
				_, _ = io.WriteString(c, out)
				return ""
			})
		}
	}
	tests := map[string]struct {
		handle func(int, net.Conn)
		code   result.Code
		sent   bool
	}{
		"closed before the answer": {cut(""), result.AnswerCut, true},
		"truncated header":         {cut("HTTP/1.1 200 O"), result.AnswerCut, true},
		"truncated body":           {cut("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\none"), result.AnswerCut, true},
		"no answer": {func(_ int, c net.Conn) {
			requests(c, func(int, *http.Request) string { time.Sleep(time.Second); return "" })
		}, result.AnswerLate, true},
		"not HTTP":              {cut("garbage garbage\r\n\r\n"), result.AnswerCut, true},
		"success without an id": {cut("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), result.AnswerCut, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := send(ctx, newClient(), serve(t, tt.handle), "a", "body")
			var failed *upstream.SendError
			is.True(errors.As(err, &failed))
			is.Equal(failed.Code, tt.code)
			is.Equal(failed.Sent, tt.sent)
		})
	}
}

func TestRefusedConnectionLeavesRequestUnsent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	l.Close()
	_, err = send(t.Context(), newClient(), addr, "a", "body")
	var failed *upstream.SendError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Code, result.ConnectFailed)
	is.True(!failed.Sent)
}

func TestAnswerBeforeEndOfRequestBody(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	addr := serve(t, func(_ int, c net.Conn) {
		connections.Add(1)
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Content Too Large\r\nX-Id: "+r.Header.Get(idHeader)+"\r\nContent-Length: 3\r\n\r\none")
		time.Sleep(300 * time.Millisecond) // leaves the rest of the body unread
	})
	c := newClient()
	for _, reqID := range []string{"a", "b"} {
		got, err := send(t.Context(), c, addr, reqID, strings.Repeat("x", 8<<20))
		is.NoErr(err)
		is.Equal(got, "one")
	}
	is.Equal(connections.Load(), int64(2)) // the first connection still had part of a body to write
}

func TestCancellationClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan time.Time, 1)
	addr := serve(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		_, _ = http.ReadRequest(br)
		_, _ = br.ReadByte()
		closed <- time.Now()
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := send(ctx, newClient(), addr, "a", "")
	var failed *upstream.SendError
	is.True(errors.As(err, &failed))
	is.Equal(failed.Code, result.CallerGone)
	<-closed
}

// A check whether a server lives must not leave a connection in use on which the server has
// sent bytes that no request asked for.
func TestHasOpen(t *testing.T) {
	tests := map[string]struct {
		after func(net.Conn) // the first answer
		open  bool
	}{
		"open":       {func(net.Conn) {}, true},
		"closed":     {func(c net.Conn) { _ = c.Close() }, false},
		"stray byte": {func(c net.Conn) { _, _ = io.WriteString(c, "H") }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answered := make(chan struct{})
			var connections atomic.Int64
			addr := serve(t, func(n int, c net.Conn) {
				connections.Add(1)
				requests(c, func(_ int, r *http.Request) string {
					if n == 0 {
						go func() {
							<-answered
							tt.after(c)
						}()
					}
					return ok(r.Header.Get(idHeader), "one")
				})
			})
			c := newClient()
			is.True(!c.HasOpen(addr))
			_, err := send(t.Context(), c, addr, "a", "")
			is.NoErr(err)
			close(answered)
			time.Sleep(50 * time.Millisecond)
			is.Equal(c.HasOpen(addr), tt.open)
			got, err := send(t.Context(), c, addr, "b", "body")
			is.NoErr(err)
			is.Equal(got, "one")
			is.Equal(connections.Load() == 1, tt.open)
		})
	}
}
