package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/node"
)

// Guards against a proper request, however unusual its form, being ended by a 3xx or 4xx, of the
// entry's or of net/http, and against its end being read as the start of the next request.
func TestProperRequestsAreNotTurnedAway(t *testing.T) {
	const (
		host    = "Host: a.example\r\n"
		fields  = host + "X-Id: odd\r\nX-Left: 5000\r\n"
		chunked = "POST /x/1 HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n"
	)
	get := func(target string) string { return "GET " + target + " HTTP/1.1\r\n" + fields + "\r\n" }
	with := func(field string) string { return "GET /x/1 HTTP/1.1\r\n" + fields + field + "\r\n\r\n" }
	method := func(name, rest string) string { return name + " /x/1 HTTP/1.1\r\n" + fields + rest }
	tests := map[string]string{
		"encoded slash":             get("/x/%2F%2f"),
		"empty segments":            get("/x//a//"),
		"dot segments":              get("/x/./a/../b"),
		"parameters":                get("/x/a;b=c,d"),
		"encoded beyond ASCII":      get("/x/%E2%82%AC%ff"),
		"beyond ASCII":              get("/x/\xe2\x82\xac"),
		"delimiters":                get("/x/a:b@c!$&'()*+="),
		"characters to be encoded":  get("/x/\"{a}|[1]^`<>\\"),
		"encoded control character": get("/x/%00%0d%0a%7f"),
		"long path":                 get("/x/" + strings.Repeat("a/", 4000)),
		"query":                     get("/x/1?a=%zz&;?/../#"),
		"empty query":               get("/x/1?"),
		"absolute form":             get("http://a.example/x/1"),
		"host with a port":          strings.Replace(get("/x/1"), "a.example", "a.example:8161", 1),
		"host in upper case":        strings.Replace(get("/x/1"), "a.example", "A.Example", 1),
		"names in lower case":       "GET /x/1 HTTP/1.1\r\nhost: a.example\r\nx-id: odd\r\nx-left: 5000\r\n\r\n",
		"no spaces before values":   "GET /x/1 HTTP/1.1\r\nHost:a.example\r\nX-Id:odd\r\nX-Left:5000\r\n\r\n",
		"tabs around values":        "GET /x/1 HTTP/1.1\r\nHost:\ta.example\t\r\nX-Id:\todd \r\nX-Left: 5000\t\r\n\r\n",
		"many fields":               with(strings.TrimSuffix(strings.Repeat("X-Many: 1\r\n", 1000), "\r\n")),
		"long field":                with("X-Long: " + strings.Repeat("a", 60<<10)),
		"empty field":               with("X-Empty:"),
		"field beyond ASCII":        with("X-Text: \xe9\xff"),
		"odd name of a field":       with("!#$%&'*+-.^_`|~: 1"),
		"upgrade":                   with("Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA"),
		"options of a connection":   with("Connection: keep-alive, TE\r\nTE: trailers\r\nKeep-Alive: timeout=5"),
		"deadline of a fraction":    strings.Replace(get("/x/1"), "5000", "4999.5", 1),
		"long deadline":             strings.Replace(get("/x/1"), "5000", "100000000000000000000", 1),
		"expectation without body":  with("Expect: 100-continue"),
		"expectation":               method("POST", "Expect: 100-Continue\r\nContent-Length: 3\r\n\r\none"),
		"expectation with chunks":   chunked + "Expect: 100-continue\r\n\r\n3\r\none\r\n0\r\n\r\n",
		"body of a read":            method("GET", "Content-Length: 3\r\n\r\none"),
		"empty body of a read":      method("GET", "Content-Length: 0\r\n\r\n"),
		"length with zeros":         method("POST", "Content-Length: 003\r\n\r\none"),
		"no length":                 method("POST", "\r\n"),
		"extension of a chunk":      chunked + "\r\n3;a=b\r\none\r\n0;c\r\n\r\n",
		"quoted extension":          chunked + "\r\n3;a=\"b;c\"\r\none\r\n0\r\n\r\n",
		"trailers":                  chunked + "Trailer: X-Sum\r\n\r\n3\r\none\r\n0\r\nX-Sum: 1\r\n\r\n",
		"chunks of a byte":          chunked + "\r\n" + strings.Repeat("1\r\na\r\n", 20000) + "0\r\n\r\n",
		"size with zeros":           chunked + "\r\n00000000000003\r\none\r\n000\r\n\r\n",
		"size in upper case":        chunked + "\r\nA\r\n0123456789\r\n0\r\n\r\n",
		"encoding in upper case":    method("POST", "Transfer-Encoding: CHUNKED\r\n\r\n3\r\none\r\n0\r\n\r\n"),
		"long body":                 method("POST", fmt.Sprintf("Content-Length: %d\r\n\r\n", 400<<10)+strings.Repeat("a", 400<<10)),
		"long body in chunks":       chunked + "\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("a", 4096)+"\r\n", 100) + "0\r\n\r\n",
		"body like a request":       method("POST", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(get("/none")))+get("/none")),
		"put":                       method("PUT", "Content-Length: 3\r\n\r\none"),
		"delete with a body":        method("DELETE", "Content-Length: 3\r\n\r\none"),
		"options":                   method("OPTIONS", "\r\n"),
		"unknown method":            method("PURGE", "\r\n"),
		"method in lower case":      method("get", "\r\n"),
		"empty line before":         "\r\n" + get("/x/1"),
		"empty line after":          method("POST", "Content-Length: 3\r\n\r\none\r\n"),
		"empty line after put":      method("PUT", "Content-Length: 3\r\n\r\none\r\n"),
		"empty line after chunks":   strings.Replace(chunked, "POST", "PATCH", 1) + "\r\n3\r\none\r\n0\r\n\r\n\r\n",
	}
	server := newGatedServer(t)
	n := newNode(t)
	stop := run(t, n, server.Listener.Addr().String())
	n.Configure(func() *node.Config { c := readsAndWrites(); c.Version = 2; return c }())
	for name, request := range tests {
		for _, ahead := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, sent ahead %v", name, ahead), func(t *testing.T) {
				is := is.New(t)
				c, err := net.Dial("tcp", n.Self().Callers.String())
				is.NoErr(err)
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				answers := bufio.NewReader(c)
				before, after := readRequest("/read/a", "before"), readRequest("/read/b", "after")
				if ahead {
					go func() { _, _ = io.WriteString(c, before+request+after) }()
				}
				for _, next := range []struct{ id, text string }{{"before", before}, {"odd", request}, {"after", after}} {
					if !ahead {
						go func() { _, _ = io.WriteString(c, next.text) }()
					}
					is.Equal(readStatus(t, answers), http.StatusOK)
				}
			})
		}
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// readStatus reads an answer and returns its status.
func readStatus(t *testing.T, answers *bufio.Reader) int {
	t.Helper()
	for {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp.StatusCode
		}
	}
}

// Guards against the rest of a refused request's body being read as the start of the next request,
// which net/http would answer with 400.
func TestBodiesOfRefusedRequestsAreNotReadAsRequests(t *testing.T) {
	n := newNode(t) // has no configuration and refuses all requests before their bodies
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	const upload = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: odd\r\nX-Left: 5000\r\n"
	for _, size := range []int{0, 1, 3 << 10, 60 << 10, 250 << 10, 300 << 10, 1 << 20} {
		body := strings.Repeat("GET / HTTP/9\r\n\r\n", size/16+1)[:size]
		requests := map[string][]string{
			"length":                  {upload + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body},
			"length, body apart":      {upload + fmt.Sprintf("Content-Length: %d\r\n\r\n", size), body},
			"chunks":                  {upload + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body)},
			"chunks, body apart":      {upload + "Transfer-Encoding: chunked\r\n\r\n", inChunks(body)},
			"expectation, body apart": {upload + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", size), body},
		}
		for name, parts := range requests {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				is := is.New(t)
				c := dialCaller(t, n.Self().Callers.String())
				answers := bufio.NewReader(c)
				go func() {
					for _, part := range append(parts, readRequest("/read/a", "after")) {
						_, _ = io.WriteString(c, part) // fails if the connection ends after the first answer
						time.Sleep(30 * time.Millisecond)
					}
				}()
				resp, err := http.ReadResponse(answers, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				if resp, err = http.ReadResponse(answers, nil); err == nil {
					is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
					is.Equal(resp.Header.Get("X-Id"), "after")
				}
			})
		}
	}
}

// inChunks encodes a body in chunks.
func inChunks(body string) string {
	var b strings.Builder
	w := httputil.NewChunkedWriter(&b)
	_, _ = io.WriteString(w, body)
	_ = w.Close()
	return b.String() + "\r\n"
}

// dialCaller connects to an entry as a caller does that waits for a limited time.
func dialCaller(t *testing.T, address string) net.Conn {
	t.Helper()
	var c net.Conn
	var err error
	for range 100 {
		if c, err = net.Dial("tcp", address); err == nil {
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			return c
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(err)
	return nil
}
