package httpserver

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
)

type (
	// Server is one HTTP listener. Its fields must not be changed after Start.
	Server struct {
		// Address is the listen address; Start sets the port if it is 0.
		Address netip.AddrPort
		// Handler answers the requests.
		Handler http.Handler
		// HeaderTimeout is the time limit for receiving a request's header; 0
		// means 10 s.
		HeaderTimeout time.Duration
		// IdleTimeout is how long a connection without a request is kept open;
		// 0 means 2 minutes.
		IdleTimeout time.Duration
		// MaxConnections is the limit on open connections; further ones are
		// closed at once. 0 means no limit.
		MaxConnections int
		// ConnContext, if not nil, returns the context from which the contexts
		// of a connection's requests are derived.
		ConnContext func(ctx context.Context, c net.Conn) context.Context

		server *http.Server
		open   atomic.Int64
		mu     sync.Mutex
		excess map[net.Conn]bool // connections closed because of the limit
	}

	// router forwards every request to one handler. rest's own router would
	// clean the path.
	router struct{ http.Handler }
)

// Start listens and serves in the background. It returns once the server
// listens, or an error if it can't.
func (s *Server) Start() error {
	conf := rest.RestConf{Host: s.Address.Addr().String(), Port: int(s.Address.Port())}
	conf.Mode = service.PreMode // disables process-wide load shedding and statistics
	engine, err := rest.NewServer(conf, rest.WithRouter(router{s.Handler}))
	if err != nil {
		return eris.Wrap(err, "create rest server")
	}
	listening := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	go s.serve(engine, listening, failed)
	select {
	case err := <-failed:
		return eris.Wrapf(err, "listen on %s", s.Address)
	case addr := <-listening:
		s.Address = addr.(*net.TCPAddr).AddrPort() //nolint:forcetypeassert // rest listens on TCP alone
		return nil
	}
}

// Shutdown closes the listener and waits until all running requests have ended
// or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return eris.Wrap(s.server.Shutdown(ctx), "shut down")
}

// Close closes the listener and all connections, including those with running
// requests.
func (s *Server) Close() error { return eris.Wrap(s.server.Close(), "close") }

func (s *Server) serve(engine *rest.Server, listening chan<- net.Addr, failed chan<- error) {
	defer func() {
		// rest panics if it can't listen.
		if p := recover(); p != nil {
			err, ok := p.(error)
			if !ok {
				err = eris.Errorf("%v", p)
			}
			failed <- err
		}
	}()
	engine.StartWithOpts(func(server *http.Server) {
		s.configure(server)
		server.BaseContext = func(l net.Listener) context.Context {
			listening <- l.Addr()
			return context.Background()
		}
	})
}

func (s *Server) configure(server *http.Server) {
	server.MaxHeaderBytes = maxHeaderBytes
	server.ReadHeaderTimeout = s.HeaderTimeout
	if s.HeaderTimeout == 0 {
		server.ReadHeaderTimeout = defaultHeaderTimeout
	}
	server.IdleTimeout = s.IdleTimeout
	if s.IdleTimeout == 0 {
		server.IdleTimeout = defaultIdleTimeout
	}
	server.ConnContext = s.ConnContext
	if s.MaxConnections > 0 {
		s.excess = map[net.Conn]bool{}
		server.ConnState = s.trackConn
	}
	s.server = server
}

// trackConn counts open connections and closes those over the limit, which are
// not counted.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.open.Add(1) > int64(s.MaxConnections) {
			s.open.Add(-1)
			s.mu.Lock()
			s.excess[c] = true
			s.mu.Unlock()
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		excess := s.excess[c]
		delete(s.excess, c)
		s.mu.Unlock()
		if !excess {
			s.open.Add(-1)
		}
	}
}

var _ httpx.Router = router{}

// Handle does nothing: the handler routes requests itself.
func (router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler does nothing: the handler serves every path.
func (router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing: the handler serves every method.
func (router) SetNotAllowedHandler(http.Handler) {}
