package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
)

const mb = 1 << 20

type (
	// socket is a caller's connection to the entry.
	socket struct {
		net.Conn
		*bufio.Reader
		t *testing.T
	}

	// post is a request as a caller writes it to its socket.
	post struct {
		path    string
		body    string
		chunked bool
		fields  []string
	}
)

func (p *post) head() string {
	fields := append([]string{"POST " + p.path + " HTTP/1.1", "Host: a.example", "X-Id: abc", "X-Left: 10000"}, p.fields...)
	if p.chunked {
		fields = append(fields, "Transfer-Encoding: chunked")
	} else {
		fields = append(fields, "Content-Length: "+strconv.Itoa(len(p.body)))
	}
	return strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func (p *post) framedBody() string {
	if p.chunked {
		return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(p.body), p.body)
	}
	return p.body
}

// allowLongBodies sets the longest body of a request, and a timeout within which it
// is sent also on a busy machine.
func (f *fixture) allowLongBodies(limit int64) {
	old := f.handler.Config()
	r := *old.Routes.Match("a.example", "/x/")
	r.Timeout = 10 * time.Second
	config := &forward.Config{Version: old.Version, Routes: route.NewTable([]*route.Route{&r}), MaxBody: limit}
	f.handler.Config = func() *forward.Config { return config }
}

// connect opens a caller's connection.
func (f *fixture) connect(t *testing.T) *socket {
	t.Helper()
	c, err := net.Dial("tcp", f.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &socket{Conn: c, Reader: bufio.NewReader(c), t: t}
}

func (s *socket) Read(p []byte) (int, error) { return s.Reader.Read(p) }

// answer reads an answer, which must be complete.
func (s *socket) answer() (*http.Response, string) {
	s.t.Helper()
	resp, err := http.ReadResponse(s.Reader, nil)
	if err != nil {
		s.t.Fatalf("no answer: %v", err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatalf("incomplete answer of %d bytes: %v", len(data), err)
	}
	return resp, string(data)
}

// serve replaces the backend servers by one that handles each request with the
// given function, which may read the body from br.
func (f *fixture) serve(t *testing.T, handle func(c net.Conn, br *bufio.Reader, r *http.Request)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	f.roster.Replace(time.Now(), []roster.Server{{Name: "i-9", Service: svc, Address: l.Addr().String(), Slots: 20}})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					handle(c, br, r)
				}
			}()
		}
	}()
}

const okHeader = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: abc\r\n"

func okAnswer(body string) string {
	return okHeader + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// A refusal must reach a caller that is still sending its body, or that reads only
// after it has sent all of it: a reset would discard the refusal.
func TestRefusalsReachCallersThatStillSend(t *testing.T) {
	noServer := func(f *fixture) { f.roster.Replace(time.Now(), nil) }
	noConnection := func(f *fixture) {
		f.roster.Replace(time.Now(), []roster.Server{{Name: "i-9", Service: svc, Address: "127.0.0.1:1", Slots: 6}})
	}
	tests := map[string]struct {
		change func(f *fixture)
		path   string
		status int
		length int
	}{
		"body too large":                 {func(f *fixture) { f.allowLongBodies(4 * mb) }, "/x/8", 413, 12 * mb},
		"no route":                       {func(*fixture) {}, "/y/8", 404, 12 * mb},
		"no route, short body":           {func(*fixture) {}, "/y/8", 404, 100_000},
		"no server":                      {noServer, "/x/8", 503, 12 * mb},
		"no server, buffered body":       {noServer, "/x/8", 503, 300_000},
		"no server accepts a connection": {noConnection, "/x/8", 503, 12 * mb},
	}
	for name, tt := range tests {
		for _, chunked := range []bool{false, true} {
			for _, field := range []string{"Connection: keep-alive", "Connection: close"} {
				t.Run(fmt.Sprintf("%s, chunked %t, %s", name, chunked, field), func(t *testing.T) {
					is := is.New(t)
					f := start(t, service.Upload, "ok")
					f.allowLongBodies(64 * mb)
					tt.change(f)
					for _, readsLast := range []bool{true, false} {
						s := f.connect(t)
						p := &post{path: tt.path, body: strings.Repeat("x", tt.length), chunked: chunked, fields: []string{field}}
						sent := make(chan error, 1)
						go func() {
							_, err := io.WriteString(s, p.head()+p.framedBody())
							sent <- err
						}()
						if readsLast {
							is.NoErr(<-sent)
						}
						resp, _ := s.answer()
						is.Equal(resp.StatusCode, tt.status)
						if !readsLast {
							is.NoErr(<-sent)
						}
					}
					forwarded := chunked && tt.status == http.StatusRequestEntityTooLarge // known only while it is forwarded
					is.Equal(f.backend.requests.Load() > 0, forwarded)
				})
			}
		}
	}
}

// A server may answer before it has read a body and read on later. What it reads
// must be a prefix of the body, and the caller must get the whole answer.
func TestEarlyAnswerLeavesTheBodyInOrder(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, length := range []int{100, 5000, 200_000, 2 * mb} {
			t.Run(fmt.Sprintf("chunked %t, answer of %d bytes", chunked, length), func(t *testing.T) {
				is := is.New(t)
				f := start(t, service.Upload, "ok")
				f.allowLongBodies(64 * mb)
				body := make([]byte, 14*mb)
				_, _ = rand.NewChaCha8([32]byte{}).Read(body)
				answer := strings.Repeat("a", length)
				got := make(chan string, 1)
				f.serve(t, func(c net.Conn, _ *bufio.Reader, r *http.Request) {
					_, _ = io.WriteString(c, okAnswer(answer)[:len(okAnswer(answer))-1])
					time.Sleep(100 * time.Millisecond)
					first := make([]byte, mb)
					_, _ = io.ReadFull(r.Body, first)
					_, _ = io.WriteString(c, "a")
					rest, _ := io.ReadAll(r.Body)
					got <- string(first) + string(rest)
				})
				s := f.connect(t)
				p := &post{path: "/x/8", body: string(body), chunked: chunked}
				sent := make(chan error, 1)
				go func() {
					_, err := io.WriteString(s, p.head()+p.framedBody())
					sent <- err
				}()
				resp, data := s.answer()
				is.Equal(resp.StatusCode, 200)
				is.Equal(len(data), length)
				text := <-got
				is.True(strings.HasPrefix(p.body, text)) // no byte is missing within what the server read
				is.NoErr(<-sent)
			})
		}
	}
}

// A caller that stops within a long body must be answered at the deadline, and one
// that disconnects there must not keep a server waiting for the rest until then.
func TestBodyThatIsNotSentToItsEnd(t *testing.T) {
	const deadline = 2 * time.Second // the route's timeout
	tests := map[string]struct {
		sent        int
		disconnects bool
		status      int
	}{
		"stops in the buffered part":       {100_000, false, http.StatusServiceUnavailable},
		"stops in the streamed part":       {2 * mb, false, http.StatusGatewayTimeout},
		"disconnects in the buffered part": {100_000, true, 0},
		"disconnects in the streamed part": {2 * mb, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Upload, "ok")
			f.route.Timeout = deadline
			released := make(chan struct{}, 1)
			f.serve(t, func(_ net.Conn, _ *bufio.Reader, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				released <- struct{}{}
			})
			s := f.connect(t)
			p := &post{path: "/x/8", body: strings.Repeat("x", 4*mb)}
			_, err := io.WriteString(s, p.head()+p.body[:tt.sent])
			is.NoErr(err)
			began := time.Now()
			if tt.disconnects {
				time.Sleep(50 * time.Millisecond)
				s.Close()
			} else {
				resp, _ := s.answer()
				is.Equal(resp.StatusCode, tt.status)
				is.True(time.Since(began) < deadline+300*time.Millisecond)
			}
			if tt.sent > mb {
				<-released
				is.True(!tt.disconnects || time.Since(began) < deadline/2)
			}
		})
	}
}

// The refusal of a quarantined request must reach a caller that is still sending its
// body.
func TestQuarantineReachesCallersThatStillSend(t *testing.T) {
	for _, length := range []int{4, 12 * mb} {
		for _, field := range []string{"Connection: keep-alive", "Connection: close"} {
			t.Run(fmt.Sprintf("%d bytes, %s", length, field), func(t *testing.T) {
				is := is.New(t)
				f := start(t, service.Upload, "crash")
				f.allowLongBodies(64 * mb)
				p := &post{path: "/x/8", body: strings.Repeat("x", length)}
				for n := 0; f.crashes() < 3 && n < 20; n++ {
					s := f.connect(t)
					_, err := io.WriteString(s, p.head()+p.body)
					is.NoErr(err)
					s.answer()
					f.waitForCrashes(n + 1)
				}
				is.Equal(f.crashes(), 3)
				p.fields = []string{field}
				s := f.connect(t)
				_, err := io.WriteString(s, p.head()+p.body)
				is.NoErr(err)
				resp, _ := s.answer()
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.Equal(resp.Header.Get(result.HeaderCode), result.Quarantined.String())
				is.Equal(resp.Close, length > mb || field == "Connection: close")
				is.Equal(f.backend.requests.Load(), int64(3))
			})
		}
	}
}
