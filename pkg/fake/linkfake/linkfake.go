// Package linkfake is a faulty network link for tests: a small TCP forwarder on
// loopback that cuts connections, lets them fall silent, or delays their bytes.
package linkfake

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Direction names one or both ways of a link.
type Direction int

// Directions of a link.
const (
	// ToServer is the way from the dialling side.
	ToServer Direction = 1
	// ToClient is the way back.
	ToClient Direction = 2
	// Both are both ways.
	Both = ToServer | ToClient
)

// Link forwards connections to one address. Its methods are safe for
// concurrent use.
type Link struct {
	listener net.Listener
	server   string
	work     sync.WaitGroup

	mu     sync.Mutex
	conns  map[*pair]struct{}
	delay  time.Duration
	tap    io.Writer
	down   bool
	silent Direction
	opened int
	closed bool
}

// Start forwards from a free loopback port to server, host:port. The caller
// closes the link.
func Start(server string) (*Link, error) {
	return StartAt("127.0.0.1:0", server)
}

// StartAt forwards from address to server, both host:port.
func StartAt(address, server string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &Link{listener: listener, server: server, conns: make(map[*pair]struct{})}
	l.work.Go(l.accept)
	return l, nil
}

// Addr returns the address to dial, host:port.
func (l *Link) Addr() string {
	return l.listener.Addr().String()
}

// CloseConnections ends all open connections; new ones work.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.close()
	}
}

// DropTraffic makes the open connections swallow all further bytes of a direction,
// for good; new connections work.
func (l *Link) DropTraffic(direction Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.silence(direction)
	}
}

// SetDropTraffic makes all open and new connections swallow the bytes of a
// direction. With 0, new connections work again; those that fell silent stay so.
func (l *Link) SetDropTraffic(direction Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = direction
	for p := range l.conns {
		p.silence(direction)
	}
}

// SetDown cuts all connections, and each new one at once, until it is called
// with false.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.CloseConnections()
	}
}

// SetDelay delays each chunk of bytes of both directions.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetTap copies all bytes of both directions to tap before they are forwarded.
// tap must be safe for concurrent use; nil ends the copying.
func (l *Link) SetTap(tap io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tap = tap
}

// AcceptedConnections counts the connections accepted so far.
func (l *Link) AcceptedConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Close ends the link and all its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.CloseConnections()
	l.work.Wait()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.work.Go(func() { l.serve(conn) })
	}
}

const dialTimeout = time.Second

func (l *Link) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.server, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &pair{client: client, server: server}
	if !l.add(p) {
		p.close()
		return
	}
	var ways sync.WaitGroup
	ways.Go(func() { p.copy(l, server, client, ToServer) })
	ways.Go(func() { p.copy(l, client, server, ToClient) })
	ways.Wait()
	p.close()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// add registers a connection unless the link is down.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened++
	if l.down || l.closed {
		return false
	}
	p.silence(l.silent)
	l.conns[p] = struct{}{}
	return true
}

func (l *Link) current() (time.Duration, io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, l.tap
}

// pair is one forwarded connection.
type pair struct {
	client, server net.Conn

	mu     sync.Mutex
	silent Direction
}

func (p *pair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (p *pair) silence(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent |= direction
}

func (p *pair) isSilent(direction Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent&direction != 0
}

// pieceBytes is the most that is forwarded at once.
const pieceBytes = 32 << 10

// copy forwards one direction. The end of a silent direction is swallowed too:
// its connection stays open until the other one ends.
func (p *pair) copy(l *Link, to, from net.Conn, direction Direction) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		delay, tap := l.current()
		if delay > 0 {
			time.Sleep(delay)
		}
		if tap != nil {
			_, _ = tap.Write(buffer[:n])
		}
		silent := p.isSilent(direction)
		if n > 0 && !silent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.close()
				return
			}
		}
		if err != nil {
			if !silent {
				p.close()
			}
			return
		}
	}
}
