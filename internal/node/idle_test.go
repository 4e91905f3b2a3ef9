package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that arrives while its connection is being closed as idle must either be
// answered or not be handled. net/http reports a connection as active only after it
// has read the request's header.
func TestRequestThatCrossesTheIdleTimeoutIsAnswered(t *testing.T) {
	is := is.New(t)
	var idle idleConnections
	handled := make(chan struct{}, 10)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled <- struct{}{}
		time.Sleep(10 * time.Millisecond) // a connection that was closed would cancel the request
		if r.Context().Err() != nil {
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	requests := 0
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateActive {
			if requests++; requests == 2 {
				idle.close(time.Now(), 0)
			}
		}
		idle.onStateChange(c, s)
	}
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	br := bufio.NewReader(c)
	for range 3 {
		_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\n")
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(c, "one")
		is.NoErr(err)
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "one")
	}
	is.Equal(len(handled), 3)
}

// Connections that are idle must be closed, so that they don't use up descriptors.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	var idle idleConnections
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = idle.onStateChange
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	time.Sleep(20 * time.Millisecond)
	idle.close(time.Now(), time.Hour)
	time.Sleep(20 * time.Millisecond)
	idle.close(time.Now(), 0)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
