package httpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/httpserver"
)

func loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func TestShutdownWaitsForRunningRequestsOfOneServer(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan bool), make(chan bool)
	s := httpserver.Server{Address: loopback(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		io.WriteString(w, r.URL.EscapedPath())
	})}
	is.NoErr(s.Start())
	other := httpserver.Server{Address: loopback(), Handler: http.NotFoundHandler()}
	is.NoErr(other.Start())

	answer := make(chan string)
	go func() {
		resp, err := http.Get("http://" + s.Address.String() + "/a%2Fb//c")
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-started
	stopped := make(chan error)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	select {
	case <-stopped:
		t.Fatal("shut down while a request ran")
	case <-time.After(20 * time.Millisecond):
	}
	close(finish)
	is.Equal(<-answer, "/a%2Fb//c") // the path is not cleaned
	is.NoErr(<-stopped)

	resp, err := http.Get("http://" + other.Address.String())
	is.NoErr(err) // the other server still serves
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.NoErr(other.Close())
}

func TestLargeHeaderIsRejected(t *testing.T) {
	tests := map[string]struct{ size, status int }{
		"normal":    {size: 8 << 10, status: http.StatusNotFound},
		"too large": {size: 128 << 10, status: http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httpserver.Server{Address: loopback(), Handler: http.NotFoundHandler()}
			is.NoErr(s.Start())
			defer s.Close()
			req, err := http.NewRequest(http.MethodGet, "http://"+s.Address.String(), nil)
			is.NoErr(err)
			req.Header.Set("X-Long", strings.Repeat("a", tt.size))
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, tt.status)
		})
	}
}

func TestStartReturnsAnErrorForATakenAddress(t *testing.T) {
	is := is.New(t)
	s := httpserver.Server{Address: loopback(), Handler: http.NotFoundHandler()}
	is.NoErr(s.Start())
	defer s.Close()
	second := httpserver.Server{Address: s.Address, Handler: http.NotFoundHandler()}
	is.True(second.Start() != nil)
}

func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	is := is.New(t)
	s := httpserver.Server{Address: loopback(), MaxConnections: 1, Handler: http.NotFoundHandler()}
	is.NoErr(s.Start())
	defer s.Close()
	first := dial(is, s.Address)
	is.NoErr(request(first))
	second := dial(is, s.Address)
	is.True(request(second) != nil) // over the limit
	is.NoErr(request(first))
	first.Close()
	for {
		third := dial(is, s.Address)
		if request(third) == nil {
			break // closing the first connection has made room
		}
	}
}

func dial(is *is.I, address netip.AddrPort) net.Conn {
	c, err := net.Dial("tcp", address.String())
	is.NoErr(err)
	return c
}

func request(c net.Conn) error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	buf := make([]byte, 1024)
	_, err := c.Read(buf)
	return err
}
