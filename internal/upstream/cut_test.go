package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/result"
)

// An answer whose head stops at any byte must never look complete, nor must one behind an
// answer that is skipped.
func TestHeadsThatStopAreNoAnswers(t *testing.T) {
	heads := map[string]string{
		"with a length":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\nServer: s\r\n\r\n",
		"length last":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
		"in chunks":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until closed":      "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n",
		"of a failure":      "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
		"without a body":    "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n",
		"behind an interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
		"behind another":    ok("z", "zzz") + "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
		"behind a refusal":  "HTTP/1.1 503 Service Unavailable\r\nX-Id: z\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
	}
	ends := map[string]func(net.Conn){
		"closed": func(net.Conn) {},
		"reset": func(c net.Conn) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		},
	}
	for name, head := range heads {
		for endName, end := range ends {
			t.Run(name+", "+endName, func(t *testing.T) {
				is := is.New(t)
				for cut := range len(head) {
					addr := serve(t, func(_ int, c net.Conn) {
						requests(c, func(int, *http.Request) string {
							_, _ = io.WriteString(c, head[:cut])
							end(c)
							return ""
						})
					})
					_, err := send(t.Context(), newClient(), addr, "a", "body")
					var failed *upstream.SendError
					if !errors.As(err, &failed) {
						t.Fatalf("head of %d of %d bytes was taken for an answer", cut, len(head))
					}
					is.Equal(failed.Code, result.AnswerCut)
					is.True(failed.Sent)
				}
			})
		}
	}
}

// A body that stops at any byte of its framing must not look complete.
func TestBodiesThatStopAreIncomplete(t *testing.T) {
	bodies := map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n" + strings.Repeat("x", 12),
		"in chunks":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
		"with a trailer": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" +
			"3\r\none\r\n0\r\nX-Sum: 1\r\n\r\n",
	}
	for name, answer := range bodies {
		t.Run(name, func(t *testing.T) {
			head := strings.Index(answer, "\r\n\r\n") + 4
			for cut := head; cut < len(answer); cut++ {
				addr := serve(t, func(_ int, c net.Conn) {
					requests(c, func(int, *http.Request) string {
						_, _ = io.WriteString(c, answer[:cut])
						return ""
					})
				})
				got, err := send(t.Context(), newClient(), addr, "a", "body")
				if err == nil {
					t.Fatalf("answer of %d of %d bytes was taken for a whole one: %s", cut, len(answer), fmt.Sprintf("%.20q", got))
				}
			}
		})
	}
}
