package enginefake

import (
	"net"
	"sync"
)

// gate blocks the reads and writes of connections while it is closed.
type gate struct {
	mu sync.Mutex
	// opened is closed while the gate is open.
	opened chan struct{}
}

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// close blocks reads and writes until open is called.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

// open unblocks reads and writes.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// wait returns a channel that is closed when the gate opens, or already closed
// if the gate is open.
func (g *gate) wait() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// gatedListener subjects every accepted connection to the engine's gate.
type gatedListener struct {
	net.Listener
	gate *gate

	mu    sync.Mutex
	conns map[*gatedConn]struct{}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &gatedConn{Conn: conn, engineGate: l.gate, connGate: newGate(), closed: make(chan struct{}), listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// stallConns closes the gates of all open connections permanently.
func (l *gatedListener) stallConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.connGate.close()
	}
}

// gatedConn is a connection whose reads and writes wait for two gates: the
// engine's and its own.
type gatedConn struct {
	net.Conn
	engineGate, connGate *gate
	closeOnce            sync.Once
	closed               chan struct{}
	listener             *gatedListener
}

// waitGates waits for each gate in turn to be open. It returns false if the
// connection is closed first.
func (c *gatedConn) waitGates() bool {
	for _, g := range []*gate{c.engineGate, c.connGate} {
		select {
		case <-g.wait():
		case <-c.closed:
			return false
		}
	}
	return true
}

// Read implements net.Conn. Data that arrives while a gate is closed is
// returned after the gate opens.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.waitGates() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. It waits until both gates are open.
func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.waitGates() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
