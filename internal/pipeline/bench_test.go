package pipeline_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/shallotpier/shallotpier/internal/pipeline"
)

// listeners are those whose costs the benchmarks compare.
var listeners = map[string]func(tcp net.Listener) (*http.Server, net.Listener){
	"net.http": func(tcp net.Listener) (*http.Server, net.Listener) { return &http.Server{}, tcp },
	"pipeline": func(tcp net.Listener) (*http.Server, net.Listener) {
		l := &pipeline.Listener{Listener: tcp, Concurrent: func(*http.Request) bool { return true }}
		return &http.Server{ConnState: l.OnStateChange, ConnContext: l.ConnContext}, l
	},
}

const benchRequest = "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: 9c41d07be2a35f68\r\nCookie: X-Affinity-Key=17\r\nX-Deadline-Ms: 2500\r\n\r\n"

func benchServer(b *testing.B, listen func(net.Listener) (*http.Server, net.Listener)) string {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, l := listen(tcp)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	go server.Serve(l)
	b.Cleanup(func() { _ = server.Close() })
	return tcp.Addr().String()
}

// BenchmarkRequest measures requests one after the other on a connection.
func BenchmarkRequest(b *testing.B) {
	for name, listen := range listeners {
		b.Run(name, func(b *testing.B) {
			c, err := net.Dial("tcp", benchServer(b, listen))
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			read := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				exchange(b, c, read)
			}
		})
	}
}

// BenchmarkIdleConnection measures the memory of a connection that has had one request.
func BenchmarkIdleConnection(b *testing.B) {
	for name, listen := range listeners {
		b.Run(name, func(b *testing.B) {
			address := benchServer(b, listen)
			before := memory()
			conns := make([]net.Conn, 0, b.N)
			for b.Loop() {
				c, err := net.Dial("tcp", address)
				if err != nil {
					b.Fatal(err)
				}
				exchange(b, c, bufio.NewReaderSize(c, 16))
				conns = append(conns, c)
			}
			b.ReportMetric(float64(memory()-before)/float64(len(conns)), "B/conn")
			for _, c := range conns {
				_ = c.Close()
			}
		})
	}
}

func exchange(b *testing.B, c net.Conn, read *bufio.Reader) {
	if _, err := io.WriteString(c, benchRequest); err != nil {
		b.Fatal(err)
	}
	resp, err := http.ReadResponse(read, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
