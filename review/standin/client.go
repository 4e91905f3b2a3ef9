package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// firstID is the number that ids begin with.
const firstID = 0x1c41d07be2a30000

var lastID atomic.Int64

// client is one connection of a caller.
type client struct {
	name string
	conn net.Conn
	read *bufio.Reader
	log  *record
}

// answer is the end of one request as the caller sees it.
type answer struct {
	id     string
	status int // 0 if the connection ended without a whole answer
	body   string
	header http.Header
	close  bool // no further answer follows on the connection
	err    error
	took   time.Duration
}

func dial(name, address string, log *record) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{name: name, conn: c, read: bufio.NewReader(c), log: log}, nil
}

func newID() string { return fmt.Sprintf("%016x", firstID+lastID.Add(1)) }

// send writes a request and returns its id.
func (c *client) send(method, path, body string, deadline time.Duration) (string, error) {
	id := newID()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	c.log.printf("%s sends %s %s as request %s, deadline %v", c.name, method, path, id, deadline)
	_, err := io.WriteString(c.conn, b.String())
	return id, err
}

// receive reads the answer to a request.
func (c *client) receive(id, method string) answer {
	began := time.Now()
	a := answer{id: id}
	var resp *http.Response
	if resp, a.err = http.ReadResponse(c.read, &http.Request{Method: method}); a.err == nil {
		var body []byte
		body, a.err = io.ReadAll(resp.Body)
		a.body, a.header, a.close = string(body), resp.Header, resp.Close
		if a.err == nil {
			a.status = resp.StatusCode
		}
	}
	a.took = time.Since(began)
	c.log.printf("%s gets for request %s: status %d, error %v, %d bytes, last of the connection %t", c.name, id, a.status, a.err, len(a.body), a.close || a.err != nil)
	return a
}
