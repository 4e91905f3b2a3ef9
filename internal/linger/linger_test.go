package linger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/linger"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

// head returns the header of a POST request; a negative length means chunked.
func head(length int, fields ...string) string {
	lines := append([]string{"POST /a HTTP/1.1", "Host: a.example"}, fields...)
	if length < 0 {
		lines = append(lines, "Transfer-Encoding: chunked")
	} else {
		lines = append(lines, "Content-Length: "+strconv.Itoa(length))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "4")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	_, _ = io.WriteString(w, "full")
}

// serve starts a server and returns a connection to it.
func serve(t *testing.T, h *linger.Handler) net.Conn {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// An answer must reach a caller that sends its whole body before it reads: a reset
// of the connection would discard the answer.
func TestAnswerReachesCallerThatReadsLast(t *testing.T) {
	const mb = 1 << 20
	tests := map[string]struct {
		length int
		fields []string
	}{
		"short":                   {length: 1000},
		"short, closing":          {length: 1000, fields: []string{"Connection: close"}},
		"long":                    {length: 12 * mb},
		"long, closing":           {length: 12 * mb, fields: []string{"Connection: close"}},
		"medium, closing":         {length: mb / 10, fields: []string{"Connection: close"}},
		"chunked":                 {length: -12 * mb},
		"chunked, closing":        {length: -12 * mb, fields: []string{"Connection: close"}},
		"short, chunked, closing": {length: -1000, fields: []string{"Connection: close"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := serve(t, &linger.Handler{Next: http.HandlerFunc(refuse)})
			body := strings.Repeat("x", max(tt.length, -tt.length))
			if tt.length < 0 {
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			}
			_, err := io.WriteString(c, head(tt.length, tt.fields...)+body)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(resp.Close)
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(data), "full")
			_, err = c.Read(make([]byte, 1))
			is.Equal(err, io.EOF) // closed without a reset
		})
	}
}

// The answer must not wait for the rest of the body, which may never come.
func TestAnswerIsSentBeforeTheBodyIsRead(t *testing.T) {
	for _, length := range []int{1000, 12 << 20, -1} {
		is := is.New(t)
		c := serve(t, &linger.Handler{Next: http.HandlerFunc(refuse)})
		_, err := io.WriteString(c, head(length))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	}
}

// A caller that never stops sending, or stops within its body, must not hold its
// connection for good.
func TestReadingIsBounded(t *testing.T) {
	tests := map[string]struct {
		handler linger.Handler
		sends   bool
	}{
		"bytes": {linger.Handler{MaxBytes: unit.MiB, Timeout: time.Hour}, true},
		"time":  {linger.Handler{Timeout: 50 * time.Millisecond}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.handler.Next = http.HandlerFunc(refuse)
			c := serve(t, &tt.handler)
			_, err := io.WriteString(c, head(1<<40))
			for tt.sends && err == nil {
				_, err = c.Write(make([]byte, 64<<10))
			}
			if !tt.sends {
				_, err = io.Copy(io.Discard, c)
				is.NoErr(err)
				return
			}
			is.True(err != nil)
		})
	}
}

// Bytes of an unread body must never be taken for the next request on the connection.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 10)
	h := &linger.Handler{Timeout: 50 * time.Millisecond, Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.Path
		refuse(w, r)
	})}
	c := serve(t, h)
	_, err := io.WriteString(c, head(100))
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	_, _ = io.WriteString(c, "GET /b HTTP/1.1\r\nHost: a.example\r\n\r\n")
	_, _ = io.Copy(io.Discard, c)
	is.Equal(len(requests), 1)
}

// A connection stays open for the next request once a body was read.
func TestConnectionIsReusedAfterReadBody(t *testing.T) {
	is := is.New(t)
	c := serve(t, &linger.Handler{Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	br := bufio.NewReader(c)
	for range 3 {
		_, err := io.WriteString(c, head(3)+"one")
		is.NoErr(err)
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(data), "one")
	}
}

// An answer without a length that is sent before a long body was read must reach a
// caller that sends its whole body first.
func TestChunkedAnswerReachesCallerThatReadsLast(t *testing.T) {
	is := is.New(t)
	c := serve(t, &linger.Handler{Next: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "one")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "two")
	})})
	const length = 12 << 20
	_, err := io.WriteString(c, head(length)+strings.Repeat("x", length))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(data), "onetwo")
}

// The same holds for callers that close, that speak HTTP/1.0, that stop within their body,
// and while another goroutine still reads the body.
func TestAnswerWithoutLengthIsEnded(t *testing.T) {
	tests := map[string]struct {
		head   string
		sent   int // of the body
		reader bool
	}{
		"closing":                         {head: head(12<<20, "Connection: close"), sent: 12 << 20},
		"HTTP/1.0":                        {head: strings.Replace(head(12<<20), "HTTP/1.1", "HTTP/1.0", 1), sent: 12 << 20},
		"chunked body":                    {head: head(-1)},
		"stops within its body":           {head: head(12 << 20), sent: 1000},
		"body is being read":              {head: head(12 << 20), sent: 12 << 20, reader: true},
		"body is being read, stops early": {head: head(12 << 20), sent: 1000, reader: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := serve(t, &linger.Handler{Timeout: 500 * time.Millisecond, Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if tt.reader {
					go func() { _, _ = io.Copy(io.Discard, r.Body) }()
				}
				_, _ = io.WriteString(w, "one")
			})})
			_, err := io.WriteString(c, tt.head+strings.Repeat("x", tt.sent))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(data), "one")
		})
	}
}
