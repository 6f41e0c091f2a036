// Package callerserver serves callers over HTTP/1.1. It follows the state of each
// connection, so that a stop of the process answers the requests that have begun to
// arrive, and knows which ones it leaves unanswered.
package callerserver

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/membudget"
)

const (
	// maxHeaderBytes is the upper limit of a request's header, whatever the
	// configuration says.
	maxHeaderBytes = 1 << 20
	// drainLinger is the time for which a drain keeps a connection open on which
	// no request has begun to arrive.
	drainLinger = 200 * time.Millisecond
	// drainPollInterval is the interval at which a drain looks for open connections.
	drainPollInterval = 10 * time.Millisecond
)

// Config holds the dependencies of a Server.
type Config struct {
	// Handler serves the requests. The connection of a request is in its context
	// as ConnContext stores it.
	Handler     http.Handler
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
	// RequestID returns the ID in a request's header, or an empty string.
	RequestID func(header http.Header) string
	// SetRequestID sets the ID in a response's header.
	SetRequestID func(header http.Header, id string)
	// TLS is the configuration of encrypted connections; nil for plain ones.
	TLS *tls.Config
	// Limits returns the limits in force. Its zero fields stand for defaults.
	Limits func() fleet.ClientLimits
	// Name names the server in logs and metrics.
	Name string
	// MaxConns is the largest number of connections; 0 means no limit.
	MaxConns int
	// Memory bounds the memory of connections, headers and their handling; nil means no
	// bound. Only one server may use a budget. When it refuses memory, the server gives up
	// bodies that have stalled.
	Memory *membudget.Budget
	// WriteTimeout is the longest time for the write of each writePartBytes to a caller,
	// unless the handler sets a deadline; 0 means the default.
	WriteTimeout time.Duration
	Log          *eventlog.Logger
	// Metrics may be nil.
	Metrics tally.Scope
}

// Server serves the callers' requests.
type Server struct {
	config Config
	http   *http.Server
	// cut is the number of connections that were closed on an unanswered request.
	cut    atomic.Int64
	meters meters
	places places
	// relieving is set while stalled bodies are being given up.
	relieving atomic.Bool

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener *listener
	drain    drain
	// acceptEnded is closed when Serve accepts no more connections.
	acceptEnded chan struct{}
}

// drain holds the times of a drain. They are zero before it.
type drain struct {
	startedAt time.Time
	// refuseAt is the time from which an incomplete request is refused: here if its
	// header is incomplete, and by the handler if its body is.
	refuseAt time.Time
}

// New returns a Server with the given dependencies.
func New(config Config) *Server {
	s := &Server{config: config, meters: newMeters(config.Metrics, config.Name), conns: map[*conn]struct{}{}, acceptEnded: make(chan struct{})}
	config.Memory.OnRefused(s.relieve)
	s.http = &http.Server{
		Handler:        s.handler(),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    s.connContext,
		ConnState:      observeState,
		ErrorLog:       config.Log.ErrorLog("callers"),
	}
	return s
}

// Serve accepts connections from a TCP listener until it is closed. It must be
// called once.
func (s *Server) Serve(accepting net.Listener) error {
	tcp, ok := accepting.(*net.TCPListener)
	if !ok {
		return errors.NotValidf("listener %T", accepting)
	}
	l := &listener{TCPListener: tcp, server: s}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	defer close(s.acceptEnded)
	if s.config.TLS != nil {
		return errors.Trace(s.http.Serve(tls.NewListener(l, s.config.TLS)))
	}
	return errors.Trace(s.http.Serve(l))
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }

// Drain accepts the connections that wait in the listener's queue, closes the
// listener and waits until all requests are answered and all connections closed. A
// connection is closed after its response, or once nothing has arrived on it for
// drainLinger. From refuseAt on, incomplete requests are refused; a handler that
// reads a body with a deadline finds that it has passed.
//
// When ctx is done, Drain closes the remaining connections. It returns the number of
// connections that were closed on an unanswered request since the drain began.
//
// http.Server.Shutdown is not suitable: it closes connections on which a request has
// arrived that the server hasn't read completely, and drops each request whose
// header it reads afterwards.
func (s *Server) Drain(ctx context.Context, refuseAt time.Time) int64 {
	before := s.cut.Load()
	s.beginDrain(drain{startedAt: time.Now(), refuseAt: refuseAt})
	s.awaitClosed(ctx)
	// All connections are closed, or are closed here.
	_ = s.http.Close()
	return s.cut.Load() - before
}

func (s *Server) beginDrain(d drain) {
	for _, c := range s.startDrain(d) {
		c.applyDeadline()
	}
}

// startDrain begins to drain the listener and returns the open connections.
func (s *Server) startDrain(d drain) []*conn {
	s.mu.Lock()
	s.drain = d
	if s.listener != nil {
		s.listener.interrupt()
	}
	s.mu.Unlock()
	return s.trackedConns()
}

// trackedConns returns the open connections.
func (s *Server) trackedConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// awaitClosed waits until no connection is accepted or open, or ctx is done.
func (s *Server) awaitClosed(ctx context.Context) {
	select {
	case <-s.acceptEnded:
	case <-ctx.Done():
		return
	}
	for s.openConns() > 0 && clock.Sleep(ctx, drainPollInterval) {
	}
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// drainTimes returns the times of the drain.
func (s *Server) drainTimes() drain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain
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
// in progress in the state of its connection, and responds if it panics.
func (s *Server) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := trackedConn(r.Context().Value(connKey{}))
		if !ok {
			s.config.Handler.ServeHTTP(w, r)
			return
		}
		id := s.config.RequestID(r.Header)
		c.beginRequest(id)
		defer c.setPhase(answered)
		tracked := &responseWriter{ResponseWriter: w, server: s, endsWithConn: !r.ProtoAtLeast(1, 1)}
		defer s.recoverPanic(c, tracked, id)
		if !c.claimRequest() {
			c.refuseRequest(tracked, id)
			return
		}
		s.config.Handler.ServeHTTP(tracked, r)
	})
}

// trackedConn returns the conn of a connection of the HTTP server, below its encryption.
func trackedConn(served any) (*conn, bool) {
	if encrypted, ok := served.(*tls.Conn); ok {
		served = encrypted.NetConn()
	}
	c, ok := served.(*conn)
	return c, ok
}

// observeState is the ConnState hook of the HTTP server.
func observeState(netConn net.Conn, state http.ConnState) {
	c, ok := trackedConn(netConn)
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

// track returns the conn for a new connection.
func (s *Server) track(tcp *net.TCPConn) *conn {
	c := &conn{
		TCPConn: tcp, server: s, since: time.Now(), address: remoteAddress(tcp),
		memory: s.config.Memory.NewClaim(), head: s.config.Memory.NewClaim(), request: s.config.Memory.NewClaim(),
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.meters.conns.Update(float64(len(s.conns)))
	s.mu.Unlock()
	c.applyDeadline()
	return c
}

// forget removes a closed connection.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.meters.conns.Update(float64(len(s.conns)))
}
