package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// acceptingServer accepts uploads before it has read them, and reads on later. It sends what
// it got of each to got. It returns its address.
func acceptingServer(t *testing.T, got chan<- string) string {
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
				var text strings.Builder
				_, _ = io.CopyN(&text, r.Body, 32<<10)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 3\r\n\r\none")
				time.Sleep(900 * time.Millisecond)
				_, _ = io.Copy(&text, r.Body)
				got <- text.String()
			}()
		}
	}()
	return l.Addr().String()
}

// An upload that a server accepts before it has read it must arrive whole there, and its
// caller must get the answer at once.
func TestUploadsThatAreAcceptedEarlyArriveWhole(t *testing.T) {
	for name, length := range map[string]int{"buffered": 400_000, "streamed": 3_900_000} {
		for _, relayed := range []bool{false, true} {
			way := map[bool]string{false: "direct", true: "over another entry"}[relayed]
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f, serving := start(t, service.Upload, "ok"), (*fixture)(nil)
				if relayed {
					f, serving = cutPair(t, service.Upload, true, "ok")
				} else {
					serving = f
				}
				got := make(chan string, 1)
				serving.roster.Replace(time.Now(), []roster.Server{{Name: "i-9", Service: svc, Address: acceptingServer(t, got), Slots: 6}})
				f.route.Timeout, serving.route.Timeout = 5*time.Second, 5*time.Second
				body := strings.Repeat("0123456789", length/10)
				// The client of net/http stops sending once it has the answer.
				c, err := net.Dial("tcp", f.Listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				began := time.Now()
				go func() {
					_, _ = fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: abc\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				_, err = io.ReadAll(resp.Body)
				is.NoErr(err)
				is.True(time.Since(began) < 800*time.Millisecond)
				is.Equal(len(<-got), len(body))
			})
		}
	}
}
