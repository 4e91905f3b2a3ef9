package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// A server that crashes while the caller is still sending a long body must be counted
// without waiting for the rest of the body.
func TestCrashDuringUploadIsCountedAtOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Upload, "unused")
	for _, l := range f.backend.listeners {
		l.Close()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	f.roster.Replace(time.Now(), []roster.Server{{Name: "i-0", Service: svc, Address: l.Addr().String(), Slots: 6}})
	f.handler.Upstream = &upstream.Client{
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
		},
		ConnectTimeout: time.Second, IdleTimeout: time.Second, NonIdempotentIdleTimeout: time.Second, RequestIDHeader: "X-Id",
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1000))
		time.Sleep(300 * time.Millisecond) // the caller has stalled by then
		l.Close()
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	f.route.Timeout = 10 * time.Second
	pr, pw := io.Pipe()
	defer pw.Close()
	r, err := http.NewRequest(http.MethodPost, f.URL+"/x/8", pr)
	is.NoErr(err)
	r.Host = "a.example"
	r.Header.Set("X-Id", "abc")
	r.Header.Set("X-Left", "9000")
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			resp.Body.Close()
		}
	}()
	_, err = io.WriteString(pw, strings.Repeat("x", 600<<10))
	is.NoErr(err)
	began := time.Now()
	for f.crashes() == 0 && time.Since(began) < 3*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.crashes(), 1)
}
