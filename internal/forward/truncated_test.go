package forward_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// reset makes the next close of a connection reset it.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
}

// A truncated answer must not look complete, and one of which nothing was forwarded
// must become an error on a connection that stays open.
func TestTruncatedAnswersDoNotLookComplete(t *testing.T) {
	const long = 600_000
	withLength := func(length, sent int) string {
		return okHeader + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n" + strings.Repeat("a", sent)
	}
	chunked := func(sent int) string {
		return okHeader + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(long, 16) + "\r\n" + strings.Repeat("a", sent)
	}
	untilClosed := func(sent int) string { return okHeader + "\r\n" + strings.Repeat("a", sent) }
	tests := map[string]struct {
		answer string
		reset  bool
		whole  int  // the length of a complete answer
		broken bool // the caller's connection breaks within the answer
	}{
		"nothing":                        {answer: ""},
		"nothing, reset":                 {answer: "", reset: true},
		"part of the header":             {answer: okHeader},
		"header":                         {answer: withLength(3, 0)},
		"short":                          {answer: withLength(3, 1)},
		"short, reset":                   {answer: withLength(3, 1), reset: true},
		"short, chunked":                 {answer: chunked(10)},
		"short without length, reset":    {answer: untilClosed(10), reset: true},
		"short without length":           {answer: untilClosed(10), whole: 10},
		"long":                           {answer: withLength(long, long/2), broken: true},
		"long, reset":                    {answer: withLength(long, long/2), reset: true, broken: true},
		"long, header":                   {answer: withLength(long, 0), broken: true},
		"long, chunked":                  {answer: chunked(long / 2), broken: true},
		"long without length, reset":     {answer: untilClosed(long / 2), reset: true, broken: true},
		"long without length":            {answer: untilClosed(long / 2), whole: long / 2},
		"long, cut within last byte":     {answer: withLength(long, long-1), broken: true},
		"buffered, cut at the last byte": {answer: withLength(200_000, 199_999)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Write, "ok")
			f.serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/x/next" {
					_, _ = io.WriteString(c, okAnswer("next"))
					return
				}
				_, _ = io.WriteString(c, tt.answer)
				time.Sleep(50 * time.Millisecond) // what was sent arrives before a reset
				if tt.reset {
					reset(c)
				}
				c.Close()
			})
			s := f.connect(t)
			p := &post{path: "/x/8", body: "body"}
			_, err := io.WriteString(s, p.head()+p.body)
			is.NoErr(err)
			if tt.broken {
				if resp, err := http.ReadResponse(s.Reader, nil); err == nil {
					_, err = io.ReadAll(resp.Body)
					is.True(err != nil) // the answer doesn't look complete
				}
				return
			}
			resp, data := s.answer()
			if tt.whole > 0 {
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(len(data), tt.whole)
			} else {
				is.Equal(resp.StatusCode, http.StatusBadGateway)
				is.Equal(data, "")
			}
			p.path = "/x/next"
			_, err = io.WriteString(s, p.head()+p.body)
			is.NoErr(err)
			_, data = s.answer()
			is.Equal(data, "next")
		})
	}
}

// The other requests that run on a server that crashes must all be answered, on
// connections that stay open: reads by another server.
func TestRequestsOnACrashedServerAreAnswered(t *testing.T) {
	tests := map[string]struct {
		kind   service.Kind
		status int
	}{
		"reads":  {service.Read, http.StatusOK},
		"writes": {service.Write, http.StatusBadGateway},
	}
	const requests = 8
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, tt.kind, "ok")
			var running atomic.Int64
			crash := make(chan struct{})
			var conns sync.Map
			f.serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conns.Store(c, true)
				if running.Add(1) == requests {
					// From now on there are other servers.
					for i, l := range f.backend.listeners {
						f.roster.Put(time.Now(), roster.Server{Name: id.Server("i-" + strconv.Itoa(i)), Service: svc, Address: l.Addr().String(), Slots: 20})
					}
					// A crashed server's kernel resets all of its connections.
					conns.Range(func(c, _ any) bool {
						reset(c.(net.Conn))
						c.(net.Conn).Close()
						return true
					})
					close(crash)
				}
				<-crash
			})
			var wg sync.WaitGroup
			var answered atomic.Int64
			for range requests {
				s := f.connect(t)
				wg.Go(func() {
					p := &post{path: "/x/8", body: "body"}
					_, _ = io.WriteString(s, p.head()+p.body)
					resp, err := http.ReadResponse(s.Reader, nil)
					if err != nil {
						return
					}
					if _, err = io.ReadAll(resp.Body); err == nil && resp.StatusCode == tt.status && !resp.Close {
						answered.Add(1)
					}
				})
				time.Sleep(5 * time.Millisecond)
			}
			wg.Wait()
			is.Equal(answered.Load(), int64(requests))
		})
	}
}

// An answer that is still being copied at the deadline must end there, without looking
// complete.
func TestAnswerThatIsCopiedAtTheDeadlineIsTruncated(t *testing.T) {
	for _, header := range []string{"Content-Length: 100000000", "Transfer-Encoding: chunked", "X-Any: 1"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Write, "ok")
			f.serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, okHeader+header+"\r\n\r\n")
				for {
					piece := strings.Repeat("a", 10_000)
					if strings.HasPrefix(header, "Transfer") {
						piece = "2710\r\n" + piece + "\r\n"
					}
					if _, err := io.WriteString(c, piece); err != nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			s := f.connect(t)
			p := &post{path: "/x/8", body: "body"}
			began := time.Now()
			_, err := io.WriteString(s, p.head()+p.body)
			is.NoErr(err)
			resp, err := http.ReadResponse(s.Reader, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			_, err = io.Copy(io.Discard, resp.Body)
			is.True(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET))
			took := time.Since(began)
			is.True(took > 300*time.Millisecond && took < 700*time.Millisecond) // the route's timeout is 400 ms
		})
	}
}

// A caller that doesn't read its answer must not keep a server's connection beyond the
// deadline.
func TestCallerThatDoesNotReadReleasesTheServer(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Write, "ok")
	released := make(chan error, 1)
	piece := make([]byte, 64<<10)
	f.serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, okHeader+"Content-Length: 1000000000\r\n\r\n")
		for err == nil {
			_, err = c.Write(piece)
		}
		released <- err
	})
	s := f.connect(t)
	p := &post{path: "/x/8", body: "body"}
	_, err := io.WriteString(s, p.head()+p.body)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	select {
	case err := <-released:
		is.True(err != nil)
	case <-ctx.Done():
		is.Fail() // the server still sends to a caller that doesn't read
	}
}

// A body without end is forwarded until the deadline. It must not look complete then, and
// the server's connection must be closed.
func TestBodyWithoutEndEndsAtTheDeadline(t *testing.T) {
	chunk := strings.Repeat("a", 4096)
	tests := map[string]struct{ head, repeated string }{
		"without a length": {"\r\n", chunk},
		"in chunks":        {"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + chunk + "\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Write, "ok")
			closed := make(chan struct{})
			f.serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) {
				defer close(closed)
				_, _ = io.Copy(io.Discard, r.Body)
				_, err := io.WriteString(c, okHeader+tt.head)
				for ; err == nil; time.Sleep(time.Millisecond) {
					_, err = io.WriteString(c, tt.repeated)
				}
			})
			status, _, _ := f.ask(t.Context(), "/x/1", "body")
			is.Equal(status, 0)
			<-closed
		})
	}
}
