package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/pkg/service"
)

// repeatingServer answers the first request of each connection with the next of some answers,
// and has all further ones run, but writes a refusal that belongs to no request before their
// answer.
type repeatingServer struct {
	firsts   []string
	repeated string
	mu       sync.Mutex
	ran      map[string]int // by request id
}

func (s *repeatingServer) serve(n int, c net.Conn) {
	first := s.firsts[min(n, len(s.firsts)-1)]
	defer c.Close()
	br := bufio.NewReader(c)
	for k := 0; ; k++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		reqID := r.Header.Get("X-Id")
		if k == 0 {
			if strings.HasPrefix(first, "HTTP/1.1 200") {
				s.record(reqID)
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(first, "ID", reqID))
			continue
		}
		s.record(reqID)
		_, _ = io.WriteString(c, s.repeated+"HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: "+reqID+"\r\nContent-Length: 3\r\n\r\none")
	}
}

func (s *repeatingServer) record(reqID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[reqID]++
}

func (s *repeatingServer) runs(reqID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[reqID]
}

// A refusal that a server writes once more must neither tell a caller that a request has not
// run that has, nor make a write run at a second server.
func TestRepeatedRefusalsAreNoProof(t *testing.T) {
	const (
		signed  = "HTTP/1.1 200 OK\r\nX-Signed: s\r\nX-Id: ID\r\nContent-Length: 3\r\n\r\none"
		refused = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
		moved   = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	)
	tests := map[string]struct {
		firsts   []string
		repeated string
		ids      []string
	}{
		"without an id":                         {[]string{refused + "\r\n"}, refused + "\r\n", []string{"a", "b"}},
		"of the same id":                        {[]string{refused + "X-Id: ID\r\n\r\n"}, refused + "X-Id: a\r\n\r\n", []string{"a", "a"}},
		"of another connection":                 {[]string{signed}, refused + "\r\n", []string{"a", "b"}},
		"of another connection, misdirected":    {[]string{signed}, moved, []string{"a", "b"}},
		"of the same id, on another connection": {[]string{refused + "X-Id: ID\r\n\r\n", signed}, refused + "X-Id: a\r\n\r\n", []string{"a", "b", "a"}},
		"of another id":                         {[]string{refused + "X-Id: ID\r\n\r\n"}, refused + "X-Id: a\r\n\r\n", []string{"a", "b"}},
	}
	for name, tt := range tests {
		for kindName, kind := range map[string]service.Kind{"read": service.Read, "write": service.Write} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				is := is.New(t)
				f := start(t, kind, "ok")
				s := &repeatingServer{firsts: tt.firsts, repeated: tt.repeated, ran: map[string]int{}}
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				go func() {
					for n := 0; ; n++ {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go s.serve(n, c)
					}
				}()
				f.roster.Replace(time.Now(), []roster.Server{{Name: "i-9", Service: svc, Address: l.Addr().String(), Slots: 6}})
				f.route.Attempts = 1
				var status int
				for k, reqID := range tt.ids {
					before := s.runs(reqID)
					status = f.askAs(t, reqID)
					if ran := s.runs(reqID) - before; ran > 0 {
						is.True(status != http.StatusServiceUnavailable) // it has run
						is.True(ran == 1 || kind == service.Read)
					} else {
						is.Equal(status, http.StatusServiceUnavailable)
					}
					t.Logf("request %d: status %d", k, status)
				}
			})
		}
	}
}

// askAs sends a request with an id, and returns the answer's status.
func (f *fixture) askAs(t *testing.T, reqID string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.URL+"/x/1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("X-Id", reqID)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
