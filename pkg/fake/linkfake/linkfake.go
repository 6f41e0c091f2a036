// Package linkfake simulates an unreliable network link for tests: a small TCP
// proxy on loopback that can close connections, and drop or delay their data.
package linkfake

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Direction is a set of the directions of a link.
type Direction int

// Directions of a link.
const (
	// ToServer is the direction from the client to the server.
	ToServer Direction = 1
	// ToClient is the direction from the server to the client.
	ToClient Direction = 2
	// Both is the set of both directions.
	Both = ToServer | ToClient
)

// Link forwards TCP connections to one address. Its methods are safe for
// concurrent use.
type Link struct {
	listener net.Listener
	server   string
	tasks    sync.WaitGroup

	mu    sync.Mutex
	pairs map[*connPair]struct{}
	delay time.Duration
	tap   io.Writer
	down  bool
	// dropped is the set of directions in which new connections drop data.
	dropped  Direction
	accepted int
	closed   bool
	// disturbances holds the faults on connections that have been closed.
	disturbances []Disturbance
}

// Disturbance is a fault that affected one connection: the link closed it, or
// dropped data on it.
type Disturbance struct {
	// ConnAddr is the address of the connection's client, as the server sees it.
	// It is empty if the link closed the connection before it reached the server.
	ConnAddr string
	// Start is the time of the fault, and End the time at which the connection was
	// closed, or zero while it is open.
	Start, End time.Time
}

// Disturbances returns the faults that have affected connections.
func (l *Link) Disturbances() []Disturbance {
	l.mu.Lock()
	defer l.mu.Unlock()
	disturbances := append([]Disturbance(nil), l.disturbances...)
	for p := range l.pairs {
		if d, ok := p.disturbance(); ok {
			disturbances = append(disturbances, d)
		}
	}
	return disturbances
}

// Start starts a link from a free loopback port to server, host:port. The
// caller must close it.
func Start(server string) (*Link, error) {
	return StartAt("127.0.0.1:0", server)
}

// StartAt starts a link from address to server, both host:port. The caller must
// close it.
func StartAt(address, server string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &Link{listener: listener, server: server, pairs: make(map[*connPair]struct{})}
	l.tasks.Go(l.acceptLoop)
	return l, nil
}

// Addr returns the address to dial, host:port.
func (l *Link) Addr() string {
	return l.listener.Addr().String()
}

// CloseConnections closes all open connections. New connections are not
// affected.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.recordDisturbance()
		p.close()
	}
}

// DropTraffic makes the open connections permanently drop all further data in a
// direction. New connections are not affected.
func (l *Link) DropTraffic(direction Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.addDropped(direction)
	}
}

// SetDroppedDirections makes all open and new connections drop all data in a
// direction. Direction 0 stops this for new connections; open connections that
// drop data continue to do so.
func (l *Link) SetDroppedDirections(direction Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped = direction
	for p := range l.pairs {
		p.addDropped(direction)
	}
}

// SetDown takes the link down or back up. Taking it down closes all open
// connections, and while it is down, each new one is closed immediately.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.CloseConnections()
	}
}

// SetDelay sets the delay of each chunk of data in both directions.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetTap makes the link copy all data in both directions to tap before the data
// is forwarded or dropped. tap must be safe for concurrent use. A nil tap stops
// the copying.
func (l *Link) SetTap(tap io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tap = tap
}

// AcceptedConnections returns the number of accepted connections for which the
// link could connect to the server. It includes those closed immediately
// because the link was down.
func (l *Link) AcceptedConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// Close stops the link and closes its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.CloseConnections()
	l.tasks.Wait()
}

// acceptLoop accepts connections until the listener is closed.
func (l *Link) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.handle(conn) })
	}
}

// dialTimeout limits the time to connect to the server.
const dialTimeout = time.Second

// handle connects to the server and forwards data until both directions end.
func (l *Link) handle(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.server, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connPair{client: client, server: server}
	if !l.register(p) {
		p.close()
		return
	}
	var forwarders sync.WaitGroup
	forwarders.Go(func() { p.forward(l, server, client, ToServer) })
	forwarders.Go(func() { p.forward(l, client, server, ToClient) })
	forwarders.Wait()
	p.close()
	l.remove(p)
}

// remove removes a closed connection and keeps the fault that affected it.
func (l *Link) remove(p *connPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
	if d, ok := p.disturbance(); ok {
		d.End = time.Now()
		l.disturbances = append(l.disturbances, d)
	}
}

// register counts a connection and adds it to the open connections. It returns
// false if the link is down or closed.
func (l *Link) register(p *connPair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	if l.down || l.closed {
		now := time.Now()
		l.disturbances = append(l.disturbances, Disturbance{Start: now, End: now})
		return false
	}
	p.addDropped(l.dropped)
	l.pairs[p] = struct{}{}
	return true
}

// settings returns the current delay and tap.
func (l *Link) settings() (time.Duration, io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay, l.tap
}

// connPair is a forwarded connection: its client side and its server side.
type connPair struct {
	client, server net.Conn

	mu sync.Mutex
	// dropped is the set of directions in which data is dropped.
	dropped Direction
	// disturbedAt is the time of the first fault, or zero.
	disturbedAt time.Time
}

// recordDisturbance records the time of the first fault on the connection.
func (p *connPair) recordDisturbance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disturbedAt.IsZero() {
		p.disturbedAt = time.Now()
	}
}

// disturbance returns the fault that has affected the connection, if any.
func (p *connPair) disturbance() (Disturbance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Disturbance{ConnAddr: p.server.LocalAddr().String(), Start: p.disturbedAt}, !p.disturbedAt.IsZero()
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// addDropped makes the connection drop all further data in a direction.
func (p *connPair) addDropped(direction Direction) {
	if direction != 0 {
		p.recordDisturbance()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped |= direction
}

func (p *connPair) isDropped(direction Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropped&direction != 0
}

// bufferBytes is the size of the forwarding buffer of each direction.
const bufferBytes = 32 << 10

// forward copies data in one direction until that side closes its connection,
// and then closes both sides. If data in the direction is dropped, the close is
// dropped too, and the connection stays open until the other direction ends.
func (p *connPair) forward(l *Link, to, from net.Conn, direction Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		delay, tap := l.settings()
		if delay > 0 {
			time.Sleep(delay)
		}
		if tap != nil {
			_, _ = tap.Write(buffer[:n])
		}
		dropped := p.isDropped(direction)
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				p.close()
				return
			}
		}
		if err != nil {
			if !dropped {
				p.close()
			}
			return
		}
	}
}
