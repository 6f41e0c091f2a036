package localfleet

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Link can pause two kinds of an agent's connections: those accepted from peers
// and those from the agent to the platform. Paused traffic is delayed and
// delivered after the pause. Connections that the agent opens to other agents
// are not affected.
type Link struct {
	peerGate         gate
	platformGate     gate
	platformListener net.Listener
	platformServer   *http.Server
}

// newLink starts a proxy for one agent's calls to the platform.
func newLink(platformHandler http.Handler) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &Link{platformListener: listener}
	l.platformServer = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if l.platformGate.waitUntilOpen(r.Context().Done()) {
				platformHandler.ServeHTTP(w, r)
			}
		}),
		ReadHeaderTimeout: platformReadHeaderTimeout,
	}
	go func() { _ = l.platformServer.Serve(listener) }()
	return l, nil
}

// platformReadHeaderTimeout limits the time to read the headers of an agent's
// call.
const platformReadHeaderTimeout = 5 * time.Second

// PausePeers pauses or resumes the connections accepted from peers.
func (l *Link) PausePeers(paused bool) {
	l.peerGate.setClosed(paused)
}

// PausePlatform pauses or resumes new calls to the platform. A watch that is
// already pending still receives its response.
func (l *Link) PausePlatform(paused bool) {
	l.platformGate.setClosed(paused)
}

func (l *Link) platformAddress() string {
	return l.platformListener.Addr().String()
}

func (l *Link) close() {
	l.peerGate.setClosed(false)
	l.platformGate.setClosed(false)
	_ = l.platformServer.Close()
}

// listenForPeers returns a listener for peers whose connections PausePeers
// pauses.
func (l *Link) listenForPeers(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return gatedListener{Listener: listener, gate: &l.peerGate}, nil
}

// gate blocks callers while it is closed. The zero value is open.
type gate struct {
	mu sync.Mutex
	// reopened is closed when the gate opens; nil while it is open.
	reopened chan struct{}
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.reopened == nil:
		g.reopened = make(chan struct{})
	case !closed && g.reopened != nil:
		close(g.reopened)
		g.reopened = nil
	}
}

// waitUntilOpen blocks until the gate is open and returns true. It returns
// false if cancelled is closed first.
func (g *gate) waitUntilOpen(cancelled <-chan struct{}) bool {
	g.mu.Lock()
	reopened := g.reopened
	g.mu.Unlock()
	if reopened == nil {
		return true
	}
	select {
	case <-reopened:
		return true
	case <-cancelled:
		return false
	}
}

// gatedListener returns connections that block while the gate is closed.
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

// gatedConn is a connection whose reads and writes block while the gate is
// closed.
type gatedConn struct {
	net.Conn
	gate      *gate
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn. It checks the gate after reading, so that the data
// of a read that was already blocked when the gate closed is delayed as well.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.gate.waitUntilOpen(c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.gate.waitUntilOpen(c.closed) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
