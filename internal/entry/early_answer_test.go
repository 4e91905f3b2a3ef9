package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/pkg/result"
)

// A server may answer before it has read a body and read on later. What it reads must
// be a prefix of the body, and the caller must get the whole answer.
func TestEarlyAnswerLeavesTheBodyInOrder(t *testing.T) {
	const mb = 1 << 20
	for _, length := range []int{100, 5000, 2 * mb} {
		t.Run(fmt.Sprintf("answer of %d bytes", length), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			c.file.Servers[0].Address = netip.MustParseAddrPort(l.Addr().String())
			got := make(chan []byte, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				answer := make([]byte, length)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", result.HeaderSend, r.Header.Get(result.HeaderSend), length)
				_, _ = conn.Write(answer[1:])
				time.Sleep(100 * time.Millisecond)
				first := make([]byte, mb)
				_, _ = io.ReadFull(r.Body, first)
				_, _ = conn.Write(answer[:1])
				rest, _ := io.ReadAll(r.Body)
				got <- append(first, rest...)
			}()
			body := make([]byte, 14*mb)
			_, _ = rand.NewChaCha8([32]byte{}).Read(body)
			conn, err := net.Dial("tcp", c.entries[0].http.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			sent := make(chan error, 1)
			go func() {
				_, _ = fmt.Fprintf(conn, "PUT /s/registry/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(body))
				_, err := conn.Write(append(body, "\r\n0\r\n\r\n"...))
				sent <- err
			}()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			n, err := io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(n, int64(length))
			is.True(bytes.HasPrefix(body, <-got)) // no byte is missing within what the server read
			is.NoErr(<-sent)
		})
	}
}
