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
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// unframedAnswer sends a long request to a server that answers without a length while the body
// is still being written, and ends the connection by end. It returns what came of the body.
func unframedAnswer(t *testing.T, size int, kept bool, end func(net.Conn)) (string, error) {
	t.Helper()
	addr := serve(t, func(_ int, c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get(idHeader)+"\r\nConnection: close\r\n\r\npart")
		end(c)
	})
	var body io.Reader = strings.NewReader(strings.Repeat("x", size))
	if !kept {
		body = io.MultiReader(body) // hides its length
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = int64(size)
	r.Header.Set(idHeader, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	ans, err := newClient().Send(ctx, &upstream.Request{Server: "i-1", Address: addr, HTTP: r, ID: "a", BodyKept: kept})
	if err != nil {
		return "", err
	}
	defer ans.Close()
	got, err := io.ReadAll(ans.Body)
	return string(got), err
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// awaitUnread waits until c has bytes to read, and leaves them unread. It returns without any
// after 5 s.
func awaitUnread(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return n > 0 || !errors.Is(err, syscall.EAGAIN)
	})
}

// An answer without a length that ends with a reset is incomplete. The kernel reports a reset
// once: if the writer of the body gets it, the reader sees an end like that of a complete
// answer.
func TestUnframedAnswersThatAreResetAreIncomplete(t *testing.T) {
	ends := map[string]func(net.Conn){
		"at once": reset,
		"after 1 ms": func(c net.Conn) {
			time.Sleep(time.Millisecond)
			reset(c)
		},
		"after 20 ms": func(c net.Conn) {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		},
		"closed with unread bytes": func(c net.Conn) {
			time.Sleep(20 * time.Millisecond)
			awaitUnread(c) // without bytes to read, Close ends the answer well
			_ = c.Close()
		},
		"while the rest is read": func(c net.Conn) {
			_, _ = io.CopyN(io.Discard, c, 2<<10)
			reset(c)
		},
	}
	for name, end := range ends {
		for _, size := range []int{8 << 10, 64 << 10, 400 << 10, 4 << 20} {
			for _, kept := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d bytes, kept %t", name, size, kept), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					for range 10 {
						got, err := unframedAnswer(t, size, kept, end)
						var failed *upstream.SendError
						if !errors.As(err, &failed) {
							t.Fatalf("got the complete answer %q, want a failure", got)
						}
						is.Equal(failed.Code, result.AnswerCut)
					}
				})
			}
		}
	}
}

// An answer without a length that ends as the protocol has it is complete, whether or not the
// body of the request has been taken before.
func TestUnframedAnswersThatEndAreComplete(t *testing.T) {
	takeRest := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	ends := map[string]func(net.Conn){
		"half closed, the rest read later": func(c net.Conn) {
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
			takeRest(c)
			_ = c.Close()
		},
		"half closed after a pause": func(c net.Conn) {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).CloseWrite()
			takeRest(c)
			_ = c.Close()
		},
	}
	for name, end := range ends {
		for _, size := range []int{8 << 10, 400 << 10, 4 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				got, err := unframedAnswer(t, size, true, end)
				is.NoErr(err)
				is.Equal(got, "part")
			})
		}
	}
}

// A status outside of HTTP's range is no answer; its body must not be taken for the next one.
func TestStatusesOutOfRangeAreNoAnswers(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			addr := serve(t, func(_ int, c net.Conn) {
				requests(c, func(_ int, r *http.Request) string {
					inner := ok(r.Header.Get(idHeader), "inner")
					return fmt.Sprintf("HTTP/1.1 %s Odd\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get(idHeader), len(inner), inner)
				})
			})
			_, err := send(t.Context(), newClient(), addr, "a", "")
			var failed *upstream.SendError
			is.True(errors.As(err, &failed))
			is.Equal(failed.Code, result.AnswerCut)
		})
	}
}
