package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "ficu95.example"

// answer is what a client got for a request; status is 0 if there was no complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	sent   time.Time
}

// call is a request of a client on a connection of its own.
type call struct {
	entry        *entry
	method, path string
	id, key      string
	deadline     time.Duration
	body         string
	fields       []string
}

// do sends the request and waits for the answer until the deadline has passed.
func (k *call) do() answer {
	a := answer{sent: time.Now()}
	c, err := net.DialTimeout("tcp", k.entry.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(a.sent.Add(k.deadline + 500*time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\n", k.method, k.path, host, k.id, k.deadline.Milliseconds())
	if k.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", k.key)
	}
	for _, f := range k.fields {
		b.WriteString(f + "\r\n")
	}
	if k.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(k.body))
	}
	if _, err := io.WriteString(c, b.String()+"\r\n"+k.body); err != nil {
		a.err = err
		return a
	}
	return readAnswer(c, a)
}

func readAnswer(c net.Conn, a answer) answer {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header, a.body = resp.StatusCode, resp.Header, string(body)
	return a
}

// String describes the outcome.
func (a *answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	s := fmt.Sprintf("%d", a.status)
	if sig := a.header.Get("X-Server-Signature"); sig != "" {
		s += ", signature " + sig
	}
	if after := a.header.Get("Retry-After"); after != "" {
		s += ", Retry-After " + after
	}
	return s
}
