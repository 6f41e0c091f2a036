package localfleet

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Link holds one agent's connections: those that peers opened to it, and its
// own to the platform. Each kind can be stopped: its bytes wait, and arrive
// when it goes on. What the agent itself opens to other agents isn't stopped.
type Link struct {
	peers    gate
	platform gate
	listener net.Listener
	server   *http.Server
}

// newLink starts a front of the platform for one agent.
func newLink(platform http.Handler) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &Link{listener: listener}
	l.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if l.platform.wait(r.Context().Done()) {
				platform.ServeHTTP(w, r)
			}
		}),
		ReadHeaderTimeout: platformHeaderTimeout,
	}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

const platformHeaderTimeout = 5 * time.Second

// PausePeers stops the connections of peers, or lets them go on.
func (l *Link) PausePeers(stopped bool) {
	l.peers.set(stopped)
}

// PausePlatform stops new calls of the platform, or lets them go on. A watch
// that waits already still gets its answer.
func (l *Link) PausePlatform(stopped bool) {
	l.platform.set(stopped)
}

func (l *Link) platformAddress() string {
	return l.listener.Addr().String()
}

func (l *Link) close() {
	l.peers.set(false)
	l.platform.set(false)
	_ = l.server.Close()
}

// listen opens the peers' listener.
func (l *Link) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return gatedListener{Listener: listener, gate: &l.peers}, nil
}

// gate makes callers wait while it is shut. The zero value is open.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

// wait returns true once the gate is open, false when done closes before.
func (g *gate) wait(done <-chan struct{}) bool {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut == nil {
		return true
	}
	select {
	case <-shut:
		return true
	case <-done:
		return false
	}
}

type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: l.gate, closed: make(chan struct{})}, nil
}

type gatedConn struct {
	net.Conn
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn. Bytes that were read when the gate shut wait too.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.gate.wait(c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.gate.wait(c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
