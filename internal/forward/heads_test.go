package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// A head that a server leaves unfinished must not become a success, nor word that a request
// has not run, at the entry itself or by way of another one.
func TestHeadsThatStopAreFailures(t *testing.T) {
	heads := map[string]string{
		"success": "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: abc\r\nContent-Length: 3\r\n\r\n",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: abc\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n",
		"skipped": "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: z\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: abc\r\n\r\n",
	}
	for name, head := range heads {
		for kindName, kind := range map[string]service.Kind{"read": service.Read, "write": service.Write} {
			for _, relayed := range []bool{false, true} {
				way := map[bool]string{false: "direct", true: "over another entry"}[relayed]
				t.Run(name+", "+kindName+", "+way, func(t *testing.T) {
					is := is.New(t)
					f, serving := start(t, kind, "ok"), (*fixture)(nil)
					if relayed {
						f, serving = cutPair(t, kind, true, "ok")
					} else {
						serving = f
					}
					var cut atomic.Int64
					address := stoppingServer(t, head, &cut)
					serving.route.Attempts, f.route.Timeout = 1, 5*time.Second
					for ; int(cut.Load()) < len(head); cut.Add(1) {
						// A server of a new name has no failures before.
						name := id.Server(fmt.Sprintf("i-%d", cut.Load()))
						serving.roster.Replace(time.Now(), []roster.Server{{Name: name, Service: svc, Address: address, Slots: 6}})
						status, _, _ := f.ask(t.Context(), "/x/1", "body")
						if status != http.StatusBadGateway {
							t.Fatalf("head of %d of %d bytes became status %d", cut.Load(), len(head), status)
						}
					}
					is.Equal(f.handler.Running(), 0)
				})
			}
		}
	}
}

// stoppingServer starts a server that writes the first bytes of a head and closes. It returns
// its address.
func stoppingServer(t *testing.T, head string, cut *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, head[:cut.Load()])
			}()
		}
	}()
	return l.Addr().String()
}
