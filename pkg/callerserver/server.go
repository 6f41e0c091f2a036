// Package callerserver serves callers over HTTP/1.1. It follows the state of each
// connection, so that the process knows which requests it leaves unanswered.
package callerserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply before a configuration is
	// known.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	maxHeaderBytes       = 64 << 10
)

// Config holds the dependencies of a Server.
type Config struct {
	// Handler serves the requests. The connection of a request is in its context
	// as ConnContext stores it.
	Handler     http.Handler
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
	// RequestID returns the ID in a request's header, or an empty string.
	RequestID func(header http.Header) string
	Log       *eventlog.Logger
}

// Server serves the callers' requests.
type Server struct {
	config Config
	http   *http.Server
	// cut is the number of connections that were closed on an unanswered request.
	cut atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a Server with the given dependencies.
func New(config Config) *Server {
	s := &Server{config: config, conns: map[*conn]struct{}{}}
	s.http = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       s.connContext,
		ConnState:         observeState,
	}
	return s
}

// Serve accepts connections from a TCP listener until it is closed.
func (s *Server) Serve(accepting net.Listener) error {
	tcp, ok := accepting.(*net.TCPListener)
	if !ok {
		return errors.NotValidf("listener %T", accepting)
	}
	return errors.Trace(s.http.Serve(&listener{TCPListener: tcp, server: s}))
}

// Drain stops accepting connections and waits for the requests in progress until
// ctx is done. It then closes the remaining connections and returns the number of
// those that were closed on an unanswered request since the drain began.
func (s *Server) Drain(ctx context.Context) int64 {
	before := s.cut.Load()
	// The error is that of ctx; the connections that remain are counted below.
	_ = s.http.Shutdown(ctx)
	_ = s.http.Close()
	return s.cut.Load() - before
}

// connKey is the context key of a request's conn.
type connKey struct{}

func (s *Server) connContext(ctx context.Context, netConn net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, netConn)
	if s.config.ConnContext == nil {
		return ctx
	}
	return s.config.ConnContext(ctx, netConn)
}

// handler returns the configured handler, which additionally records the request
// in progress in the state of its connection.
func (s *Server) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			s.config.Handler.ServeHTTP(w, r)
			return
		}
		c.beginRequest(s.config.RequestID(r.Header))
		defer c.setPhase(answered)
		s.config.Handler.ServeHTTP(w, r)
	})
}

// observeState is the ConnState hook of the HTTP server.
func observeState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(received)
	case http.StateIdle:
		c.setPhase(waiting)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// listener accepts the callers' connections.
type listener struct {
	*net.TCPListener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err != nil {
		// http.Server examines the type of the error.
		return nil, err
	}
	return l.server.track(tcp), nil
}

// track returns the conn for a new connection.
func (s *Server) track(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, server: s, since: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// forget removes a closed connection.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
