package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// FuzzFramer compares where the framer and net/http see the end of a request. A difference
// would make a part of one request a request of its own.
func FuzzFramer(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET ",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nGET ",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\nGET ",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\t04 \r\n\r\nbody",
		"GET /\nHost: a\n\n", "GET / HTTP/1.1\r\nHost: a\r\n x: y\r\n\r\n", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(seed), uint8(7))
	}
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		used, ok := frameInSteps(stream, max(int(step), 1))
		if !ok {
			return // left to net/http
		}
		read := bytes.NewReader(stream)
		buffered := bufio.NewReader(read)
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return // net/http ends the connection
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if want := len(stream) - read.Len() - buffered.Buffered(); used != want {
			t.Fatalf("request of %d bytes in %q, want %d", used, stream, want)
		}
	})
}

// frameInSteps returns the length of the first request of a stream that arrives in steps.
// It returns false if that can't be told.
func frameInSteps(stream []byte, step int) (int, bool) {
	c := &conn{}
	total := 0
	for len(stream) > 0 && c.framer.part != atEnd {
		b := stream[:min(step, len(stream))]
		used := c.frame(b)
		if c.framer.part == opaque || used < len(b) && c.framer.part != atEnd {
			return 0, false
		}
		total += used
		stream = stream[used:]
	}
	return total, c.framer.part == atEnd
}

// Heads on which two parsers may differ must be left to net/http.
func TestIrregularHeads(t *testing.T) {
	tests := map[string]struct {
		head    string
		regular bool
	}{
		"plain":                 {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		"empty value":           {"GET / HTTP/1.1\r\nHost: a\r\nX:\r\n\r\n", true},
		"length":                {"PUT / HTTP/1.1\r\nHost: a\r\ncontent-length: 10\r\n\r\n", true},
		"folded line":           {"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", false},
		"carriage return alone": {"GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", false},
		"line feed alone":       {"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", false},
		"two hosts":             {"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", false},
		"two equal lengths":     {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", false},
		"list of lengths":       {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", false},
		"hexadecimal length":    {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x1\r\n\r\n", false},
		"length too great":      {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999999999999\r\n\r\n", false},
		"length and chunks":     {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"two encodings":         {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", false},
		"space before a colon":  {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\n", false},
		"name without value":    {"GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", false},
		"older protocol":        {"GET / HTTP/1.0\r\nHost: a\r\n\r\n", false},
		"absolute target":       {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", false},
		"two spaces":            {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", false},
		"empty line before":     {"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, regular := parseHead([]byte(tt.head))
			is.New(t).Equal(regular, tt.regular)
		})
	}
}
