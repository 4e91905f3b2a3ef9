package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/crashcheck"
	"github.com/shallotpier/shallotpier/internal/dispatch"
	"github.com/shallotpier/shallotpier/internal/forward"
	"github.com/shallotpier/shallotpier/internal/quarantine"
	"github.com/shallotpier/shallotpier/internal/roster"
	"github.com/shallotpier/shallotpier/internal/route"
	"github.com/shallotpier/shallotpier/internal/upstream"
	"github.com/shallotpier/shallotpier/pkg/id"
	"github.com/shallotpier/shallotpier/pkg/result"
	"github.com/shallotpier/shallotpier/pkg/service"
	"github.com/shallotpier/shallotpier/pkg/unit"
)

const (
	svc = id.Service("registry")
	// reportsPerCrash is the number of reports of a crash: for the request with its
	// caller, and for the request from any caller.
	reportsPerCrash = 2
)

type (
	// backend simulates all servers. Each request, to whichever server, takes the
	// next line of the script; the last line is repeated.
	backend struct {
		script   []string
		requests atomic.Int64
		last     atomic.Pointer[http.Request]
		body     atomic.Pointer[string]
		closed   chan struct{} // receives one value per closed connection of "silent"
		// listeners belong to the servers; a server that crashes closes its own, and its conns.
		listeners []net.Listener
		conns     []net.Conn // to all servers
		mu        sync.Mutex // protects listeners and conns
		// onRequest is called before a request is answered, unless it is nil.
		onRequest func()
	}

	fixture struct {
		*httptest.Server
		backend *backend
		roster  *roster.Roster
		route   *route.Route
		handler *forward.Handler
		// key is sent with each request, unless it is empty.
		key string
	}
)

// answer writes the answer for a line of the script. It reports whether the
// connection stays open.
func (b *backend) answer(c net.Conn, r *http.Request, line string) bool {
	reqID := r.Header.Get("X-Id")
	header := "X-Id: " + reqID + "\r\n"
	ok := "HTTP/1.1 200 OK\r\nX-Signed: s\r\n" + header
	switch line {
	case "ok":
		_, _ = io.WriteString(c, ok+"Content-Length: 3\r\n\r\none")
	case "error":
		_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nX-Signed: s\r\n"+header+"Content-Length: 3\r\n\r\nbad")
	case "shed":
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"+header+"Content-Length: 0\r\n\r\n")
	case "busy": // may have run
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Signed: s\r\n"+header+"Content-Length: 0\r\n\r\n")
	case "other":
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	case "unsigned":
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 3\r\n\r\none")
	case "encoded":
		_, _ = io.WriteString(c, ok+"Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\none")
	case "long":
		_, _ = io.WriteString(c, ok+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1000000))
	case "long, cut":
		_, _ = io.WriteString(c, ok+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 500000))
		return false
	case "limited":
		_, _ = io.WriteString(c, ok+"X-Limit: 2.5\r\nContent-Length: 3\r\n\r\none")
	case "error, limited":
		_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nX-Signed: s\r\nX-Limit: 2.5\r\n"+header+"Content-Length: 0\r\n\r\n")
	case "shed, limited":
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Limit: 2.5\r\n"+header+"Content-Length: 0\r\n\r\n")
	case "other, limited":
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nX-Limit: 2.5\r\nContent-Length: 0\r\n\r\n")
	case "unsigned, limited":
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Limit: 2.5\r\n"+header+"Content-Length: 3\r\n\r\none")
	case "limit invalid":
		_, _ = io.WriteString(c, ok+"X-Limit: x\r\nContent-Length: 3\r\n\r\none")
	case "limited, cut":
		_, _ = io.WriteString(c, ok+"X-Limit: 2.5\r\nContent-Length: 3\r\n\r\no")
		return false
	case "interim leaving":
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX-Leaving: 1\r\n\r\n"+ok+"Content-Length: 3\r\n\r\none")
	case "chunked":
		_, _ = io.WriteString(c, ok+"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n")
	case "until closed":
		_, _ = io.WriteString(c, ok+"\r\none")
		return false
	case "cut":
		return false
	case "crash":
		b.crash(c)
		return false
	case "error, crash":
		_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nX-Signed: s\r\n"+header+"Content-Length: 3\r\n\r\nbad")
		time.Sleep(5 * time.Millisecond)
		b.crash(c)
		return false
	case "late crash": // of a server at work, which doesn't notice that its caller has left
		time.Sleep(150 * time.Millisecond)
		b.crash(c)
		return false
	case "links cut":
		b.cutLinks()
		return false
	case "short, crash":
		_, _ = io.WriteString(c, ok+"Content-Length: 3\r\n\r\no")
		b.crash(c)
		return false
	case "long, crash":
		_, _ = io.WriteString(c, ok+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 500000))
		b.crash(c)
		return false
	case "silent":
		_, _ = bufio.NewReader(c).ReadByte()
		b.closed <- struct{}{}
		return false
	default:
		return answerFields(c, header, line)
	}
	return true
}

// answerFields writes an answer whose line is a status and header fields, separated by
// commas, and "cut" to end it within its body.
func answerFields(c net.Conn, header, line string) bool {
	status, rest, _ := strings.Cut(line, ", ")
	rest, cut := strings.CutSuffix(rest, ", cut")
	if rest != "" {
		header += strings.ReplaceAll(rest, ", ", "\r\n") + "\r\n"
	}
	if status == "200" || status == "500" {
		header += "X-Signed: s\r\n"
	}
	body := "one"
	if cut {
		body = "o"
	}
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Status\r\n"+header+"Content-Length: 3\r\n\r\n"+body)
	return !cut
}

// crash closes the listener of the server that a connection belongs to.
func (b *backend) crash(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.listeners {
		if l.Addr().String() == c.LocalAddr().String() {
			l.Close()
		}
	}
	for _, other := range b.conns {
		if other != c && other.LocalAddr().String() == c.LocalAddr().String() {
			other.Close()
		}
	}
}

// cutLinks closes the listeners of all servers.
func (b *backend) cutLinks() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.listeners {
		l.Close()
	}
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	b.mu.Lock()
	b.conns = append(b.conns, c)
	b.mu.Unlock()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		text := string(body)
		b.last.Store(r)
		b.body.Store(&text)
		n := int(b.requests.Add(1))
		if b.onRequest != nil {
			b.onRequest()
		}
		if !b.answer(c, r, b.script[min(n, len(b.script))-1]) {
			return
		}
	}
}

func start(t *testing.T, kind service.Kind, script ...string) *fixture {
	t.Helper()
	b := &backend{script: script, closed: make(chan struct{}, 10)}
	r := &roster.Roster{Log: slog.New(slog.DiscardHandler)}
	f := &fixture{backend: b, roster: r}
	for range 3 {
		f.addServer(t)
	}
	r.SetEntries(netip.MustParseAddrPort("10.0.0.1:90"), nil)
	rt := &route.Route{
		Name: "r", Host: "a.example", Prefix: "/x/", Kind: kind, Parts: []route.Part{{Service: svc, Weight: 1}},
		Attempts: 2, Timeout: 400 * time.Millisecond,
	}
	config := &forward.Config{Version: 1, Routes: route.NewTable([]*route.Route{rt}), MaxBody: 4 << 20}
	f.route = rt
	f.handler = &forward.Handler{
		Config: func() *forward.Config { return config }, Dispatcher: &dispatch.Dispatcher{Roster: r},
		Upstream:    &upstream.Client{ConnectTimeout: time.Second, IdleTimeout: time.Second, NonIdempotentIdleTimeout: time.Second, RequestIDHeader: "X-Id"},
		Quarantine:  &quarantine.List{Instance: "e-1", Tolerated: 2},
		RetryLimits: func() forward.RetryLimits { return forward.RetryLimits{Allowance: 10} },
		Leaving:     func() bool { return false },
		Headers: forward.Headers{
			RequestID: "X-Id", Deadline: "X-Left", Object: "Object", Expect: "X-Expect", NotRun: "X-Not-Run", Signature: "X-Signed",
		},
		Load:  func(http.Header) *roster.Load { return nil },
		Limit: decodeLimit,
		ServerLeaving: func(h http.Header) (bool, error) {
			value := h.Get("X-Leaving")
			if value != "" && value != "1" {
				return false, strconv.ErrSyntax
			}
			return value == "1", nil
		},
		StayAway: func(h http.Header) (time.Duration, error) {
			if h.Get("X-Away") == "" {
				return 0, nil
			}
			return time.ParseDuration(h.Get("X-Away"))
		},
		StoreAge: func() time.Duration { return 0 },
		Log:      slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	}
	f.handler.CrashChecks = &crashcheck.Checker{Connect: func(ctx context.Context, address string) bool {
		return f.handler.Upstream.CanConnect(ctx, address)
	}}
	f.Server = httptest.NewServer(f.handler)
	t.Cleanup(f.Close)
	return f
}

func decodeLimit(h http.Header) (unit.Rate, error) {
	if h.Get("X-Limit") == "" {
		return 0, nil
	}
	rate, err := strconv.ParseFloat(h.Get("X-Limit"), 64)
	return unit.Rate(rate), err
}

// addServer starts another server.
func (f *fixture) addServer(t *testing.T) {
	t.Helper()
	b := f.backend
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	name := id.Server(fmt.Sprintf("i-%d", len(b.listeners)))
	b.listeners = append(b.listeners, l)
	b.mu.Unlock()
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	f.roster.Put(time.Now(), roster.Server{Name: name, Service: svc, Address: l.Addr().String(), Slots: 6})
}

// request returns a request to the entry: a GET if it has no body, else a POST.
func (f *fixture) request(ctx context.Context, path, body string) (*http.Request, error) {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, f.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = "a.example"
	r.Header.Set("X-Id", "abc")
	r.Header.Set("X-Left", "2000")
	if f.key != "" {
		r.Header.Set("Authorization", "Bearer "+f.key)
	}
	return r, nil
}

// ask sends a request to the entry and returns status, header and body of the
// answer. The status is 0 if no complete answer was received.
func (f *fixture) ask(ctx context.Context, path, body string) (int, http.Header, string) {
	r, err := f.request(ctx, path, body)
	if err != nil {
		return 0, nil, err.Error()
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, string(data)
}

func TestAnswersAndRetries(t *testing.T) {
	read, write, upload := service.Read, service.Write, service.Upload
	tests := map[string]struct {
		kind   service.Kind
		script []string
		status int
		sends  int64
		body   string
	}{
		"served":                              {read, []string{"ok"}, 200, 1, "one"},
		"chunked":                             {write, []string{"chunked"}, 200, 1, "one"},
		"answer without a length ends at EOF": {write, []string{"until closed"}, 200, 1, "one"},
		"long answer":                         {read, []string{"long"}, 200, 1, strings.Repeat("x", 1000000)},
		"truncated long answer":               {read, []string{"long, cut"}, 0, 1, ""},
		"read is retried after a truncated answer": {read, []string{"cut", "ok"}, 200, 2, "one"},
		"both answers to a read are truncated":     {read, []string{"cut"}, 502, 2, ""},
		"write is not retried after truncation":    {write, []string{"cut", "ok"}, 502, 1, ""},
		"upload is not retried after truncation":   {upload, []string{"cut", "ok"}, 502, 1, ""},
		"shed write is retried on another server":  {write, []string{"shed", "ok"}, 200, 2, "one"},
		"write that all servers shed":              {write, []string{"shed"}, 503, 2, ""},
		"read is retried after an error":           {read, []string{"error", "ok"}, 200, 2, "one"},
		"read that gets only errors":               {read, []string{"error"}, 500, 2, "bad"},
		"error of a write is forwarded":            {write, []string{"error", "ok"}, 500, 1, "bad"},
		"503 without not-run header becomes 502":   {write, []string{"busy"}, 502, 1, ""},
		"unsigned success becomes 502":             {write, []string{"unsigned"}, 502, 1, ""},
		"encoded success becomes 502":              {write, []string{"encoded"}, 502, 1, ""},
		"retried after another server's answer":    {write, []string{"other", "ok"}, 200, 2, "one"},
		"unanswered read ends at the deadline":     {read, []string{"silent"}, 504, 1, ""},
		"unanswered write ends at the deadline":    {write, []string{"silent"}, 504, 1, ""},
		"read is retried after an unsigned answer": {read, []string{"unsigned", "ok"}, 200, 2, "one"},
		"shed upload is retried on another server": {upload, []string{"shed", "ok"}, 200, 2, "one"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, tt.kind, tt.script...)
			body := ""
			if tt.kind != read {
				body = "body"
			}
			began := time.Now()
			status, header, got := f.ask(t.Context(), "/x/8", body)
			is.Equal(status, tt.status)
			is.Equal(f.backend.requests.Load(), tt.sends)
			if tt.status != 0 {
				is.Equal(got, tt.body)
			}
			is.True(time.Since(began) < 800*time.Millisecond)
			if tt.status == http.StatusServiceUnavailable {
				wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(wait > 0 && wait < 0.4/3)
			}
		})
	}
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Upload, "ok")
	long := strings.Repeat("0123456789", 100_000) // more than is buffered for a retry
	for _, body := range []string{"short", long} {
		status, _, _ := f.ask(t.Context(), "/x/a%2Fb//c?q=%20&", body)
		is.Equal(status, 200)
		got := f.backend.last.Load()
		is.Equal(got.RequestURI, "/x/a%2Fb//c?q=%20&")
		is.Equal(got.Method, http.MethodPost)
		is.Equal(got.Host, "a.example")
		is.Equal(got.Header.Get("X-Id"), "abc")
		is.True(strings.HasPrefix(got.Header.Get("X-Expect"), "i-"))
		left, err := strconv.Atoi(got.Header.Get("X-Left"))
		is.NoErr(err)
		is.True(left > 0 && left <= 400) // the route's timeout, shorter than the caller's deadline
		is.True(*f.backend.body.Load() == body)
	}
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(f *fixture)
		path   string
		body   string
		status int
	}{
		"no configuration yet": {func(f *fixture) { f.handler.Config = func() *forward.Config { return nil } }, "/x/8", "", 503},
		"no route":             {func(*fixture) {}, "/y/8", "", 404},
		"no server":            {func(f *fixture) { f.roster.Replace(time.Now(), nil) }, "/x/8", "", 503},
		"body too large":       {func(*fixture) {}, "/x/8", strings.Repeat("x", 5<<20), 413},
		"no server accepts a connection": {func(f *fixture) {
			f.roster.Replace(time.Now(), []roster.Server{{Name: "i-9", Service: svc, Address: "127.0.0.1:1", Slots: 6}})
		}, "/x/8", "body", 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, service.Write, "ok")
			tt.change(f)
			status, _, _ := f.ask(t.Context(), tt.path, tt.body)
			is.Equal(status, tt.status)
			is.Equal(f.backend.requests.Load(), int64(0))
		})
	}
}

func TestCallerDisconnect(t *testing.T) {
	tests := map[string]struct {
		kind   service.Kind
		body   string
		within bool
	}{
		"cancels a read at the server": {service.Read, "", true},
		"doesn't cancel a write":       {service.Write, "body", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, tt.kind, "silent")
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(50*time.Millisecond, cancel)
			began := time.Now()
			status, _, _ := f.ask(ctx, "/x/8", tt.body)
			is.Equal(status, 0)
			<-f.backend.closed
			is.Equal(time.Since(began) < 300*time.Millisecond, tt.within)
		})
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	const allowance, requests = 10, 30
	tests := map[string]struct {
		kind   service.Kind
		line   string
		sends  int64
		status int
	}{
		"shed by the server": {service.Write, "shed", requests + allowance, http.StatusServiceUnavailable},
		// Each server is excluded after two such answers.
		"answered by another server": {service.Write, "other", 6, http.StatusServiceUnavailable},
		"errors of the server":       {service.Read, "error", requests + allowance, http.StatusInternalServerError},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, tt.kind, tt.line)
			body := "body"
			if tt.kind == service.Read {
				body = ""
			}
			for range requests {
				status, _, _ := f.ask(t.Context(), "/x/8", body)
				is.Equal(status, tt.status)
			}
			is.Equal(f.backend.requests.Load(), tt.sends)
		})
	}
}

func TestRequestsThatCrashServersAreQuarantined(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Write, "crash")
	for n := range 3 {
		status, _, _ := f.ask(t.Context(), "/x/8", "body")
		is.Equal(status, http.StatusBadGateway)
		for i := 0; f.crashes() <= n && i < 100; i++ {
			time.Sleep(20 * time.Millisecond)
		}
	}
	is.Equal(f.backend.requests.Load(), int64(3))
	status, header, _ := f.ask(t.Context(), "/x/8", "body")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(result.HeaderCode), result.Quarantined.String())
	is.Equal(f.backend.requests.Load(), int64(3))
	wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait > 60) // the rest of the quarantine, in seconds
	_, header, _ = f.ask(t.Context(), "/x/8", "other")
	is.True(header.Get(result.HeaderCode) != result.Quarantined.String())
}

func TestTruncatedAnswerOfARunningServerIsNotACrash(t *testing.T) {
	is := is.New(t)
	f := start(t, service.Write, "cut", "cut", "cut", "cut", "ok")
	for range 4 {
		f.ask(t.Context(), "/x/8", "body")
	}
	time.Sleep(200 * time.Millisecond)
	is.Equal(f.crashes(), 0)
}

// crashes returns the number of crashes that the entry has recorded.
func (f *fixture) crashes() int {
	n := 0
	for _, e := range f.handler.Quarantine.Entries(time.Now()) {
		n += e.Crashes
	}
	return n / reportsPerCrash
}

// A request that may outlive the process must be refused at once, before it is sent to a
// server. One that ends in time must be served.
func TestRequestsThatMayOutliveTheEntryAreRefused(t *testing.T) {
	tests := map[string]struct {
		exit   time.Duration // from now; 0 if the exit isn't known
		left   string
		status int
	}{
		"exit not known":          {0, "300", http.StatusOK},
		"deadline before exit":    {time.Minute, "300", http.StatusOK},
		"deadline after exit":     {100 * time.Millisecond, "300", http.StatusServiceUnavailable},
		"route's time after exit": {100 * time.Millisecond, "5000", http.StatusServiceUnavailable},
		"exit has passed":         {-time.Second, "300", http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		for kindName, kind := range map[string]service.Kind{"read": service.Read, "write": service.Write, "upload": service.Upload} {
			t.Run(name+", "+kindName, func(t *testing.T) {
				is := is.New(t)
				f := start(t, kind, "ok")
				f.handler.EndBy = func() time.Time {
					if tt.exit == 0 {
						return time.Time{}
					}
					return time.Now().Add(tt.exit)
				}
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.URL+"/x/1", strings.NewReader("body"))
				is.NoErr(err)
				r.Host = "a.example"
				r.Header.Set("X-Id", "abc")
				r.Header.Set("X-Left", tt.left)
				resp, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, tt.status)
				if tt.status == http.StatusOK {
					return
				}
				is.Equal(f.backend.requests.Load(), int64(0))
				is.Equal(resp.Header.Get(result.HeaderCode), result.EntryLeaving.String())
				wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(wait > 0 && wait < 0.1) // another entry can serve the request now
			})
		}
	}
}
