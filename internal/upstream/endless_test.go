package upstream_test

import (
	"bufio"
	"context"
	"errors"
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

const (
	// endless is the number of bytes after which a server that sends without end gives
	// up, if the client reads that many.
	endless = 8 << 20
	// maxRead is the number of bytes that a client may read of what is no answer.
	maxRead = 256 << 10
	// maxSkipped is the same for answers to other requests, which are skipped.
	maxSkipped = 4 << 20
)

// A server that sends bytes without end must not fill the entry's memory: the connection is
// closed after a bounded number of bytes, long before the deadline.
func TestBytesWithoutEndAreNotRead(t *testing.T) {
	tests := map[string]struct{ first, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"no HTTP":           {"", "x"},
		"one header line":   {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Long: ", "x"},
		"header lines":      {"HTTP/1.1 200 OK\r\nX-Id: a\r\n", "A: b\r\n"},
		"folded header":     {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Long: b\r\n", " c\r\n"},
		"interim answers":   {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"answers to others": {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\none"},
		"answer of another": {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
		"chunk size":        {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"tiny chunks":       {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailer":           {"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var read atomic.Int64
			c := newClient()
			c.Dial = func(context.Context, string) (net.Conn, error) {
				server, client := net.Pipe()
				go sendEndless(server, tt.first, tt.repeated, &read)
				return client, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := send(ctx, c, "10.0.0.1:80", "a", "")
			var failed *upstream.SendError
			is.True(errors.As(err, &failed))
			is.Equal(failed.Code, result.AnswerCut)
			is.True(failed.Sent)
			is.True(len(failed.Error()) < 500) // errors are logged
			limit := int64(maxRead)
			if strings.HasPrefix(tt.first+tt.repeated, "HTTP/1.1 200 OK\r\nX-Id: other") {
				limit = maxSkipped
			}
			if got := read.Load(); got > limit {
				t.Errorf("read %d bytes, want at most %d", got, limit)
			}
		})
	}
}

// sendEndless reads a request and writes first, and then repeated again and again until the
// connection is closed. It adds the number of bytes that the client took to read.
func sendEndless(c net.Conn, first, repeated string, read *atomic.Int64) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	for next := first + repeated; read.Load() < endless; next = strings.Repeat(repeated, 1000) {
		n, err := io.WriteString(c, next)
		read.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// A server that sends bytes on an idle connection must not keep it until its timeout: what
// isn't read fills the kernel's buffers.
func TestIdleConnectionWithUnreadBytesIsClosed(t *testing.T) {
	is := is.New(t)
	more, closed := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(_ int, c net.Conn) {
		defer close(closed)
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, ok(r.Header.Get(idHeader), "one"))
		<-more
		for {
			if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
				return
			}
		}
	})
	c := newClient()
	_, err := send(t.Context(), c, addr, "a", "")
	is.NoErr(err)
	c.CloseIdle(time.Now()) // nothing to read yet
	close(more)
	start := time.Now()
	for i := range 4 { // the idle timeout is 5 s
		c.CloseIdle(start.Add(time.Duration(i) * time.Second))
		select {
		case <-closed:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Error("the connection is still open after 3 s")
}
