package targetconn

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// Timeouts of connections to targets.
const (
	// DialTimeout bounds the setup of a connection.
	DialTimeout = 400 * time.Millisecond
	// ackTimeout is the time after which a connection with unacknowledged bytes
	// is closed.
	ackTimeout = 2 * time.Second
	// tcpKeepAliveIdle, tcpKeepAliveInterval and tcpKeepAliveCount configure the
	// TCP keep-alive probes, which detect idle connections to an unreachable peer.
	tcpKeepAliveIdle     = 500 * time.Millisecond
	tcpKeepAliveInterval = 300 * time.Millisecond
	tcpKeepAliveCount    = 2
	// defaultIdleTimeout applies until a target has announced its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// poolIdleTimeout is the time without requests after which a target's pool
	// is removed.
	poolIdleTimeout = 20 * time.Second
)

// ErrConnLimit means that the limit of open connections to the target is reached.
const ErrConnLimit = errors.ConstError("connection limit of the target reached")

// Pools holds the connections to all targets. It is safe for concurrent use.
type Pools struct {
	dial   Dialer
	mu     sync.Mutex
	byBoot map[fleet.Boot]*pool
}

// pool holds the connections to one run of a target.
type pool struct {
	dial      Dialer
	mu        sync.Mutex
	address   string
	idleConns []*Conn
	openConns int
	lastUsed  time.Time
	removed   bool
}

// NewPools returns Pools without connections.
func NewPools() *Pools {
	return NewPoolsWithDialer(dialTCP)
}

// Dialer opens a connection to a target's address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NewPoolsWithDialer returns Pools whose connections come from dial.
func NewPoolsWithDialer(dial Dialer) *Pools {
	return &Pools{dial: dial, byBoot: map[fleet.Boot]*pool{}}
}

// Get returns an idle connection to a target, or opens one if fewer than limit
// are open. On an error, no byte has been sent. It returns no connection in used, and adds
// the one that it returns.
func (p *Pools) Get(ctx context.Context, target *fleet.Target, limit int, used *UsedConns) (*Conn, error) {
	pl, conn, err := p.reserve(target, limit, used)
	if err != nil {
		return nil, err
	}
	if conn == nil {
		conn, err = pl.connect(ctx)
	}
	if err != nil {
		pl.release()
		return nil, errors.Annotatef(err, "connecting to target %s", target.ID)
	}
	used.add(conn)
	return conn, nil
}

// reserve returns an idle connection to a target, or the pool in which it has
// reserved a new one. It holds the lock across both steps, so that Prune doesn't
// remove the pool between them and a second pool doesn't exceed the limit.
func (p *Pools) reserve(target *fleet.Target, limit int, used *UsedConns) (*pool, *Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.poolFor(target)
	now := time.Now()
	if conn := pl.takeIdle(now, used); conn != nil {
		return pl, conn, nil
	}
	if !pl.reserve(now, limit) {
		return nil, nil, ErrConnLimit
	}
	return pl, nil, nil
}

// Prune closes idle connections near their idle timeout and removes unused pools.
func (p *Pools) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for boot, pl := range p.byBoot {
		if pl.prune(now) {
			delete(p.byBoot, boot)
		}
	}
}

// poolFor returns the pool of a target's run. The caller must hold p.mu.
func (p *Pools) poolFor(target *fleet.Target) *pool {
	boot := target.Boot()
	pl, ok := p.byBoot[boot]
	if !ok {
		pl = &pool{dial: p.dial, address: target.Address}
		p.byBoot[boot] = pl
	}
	return pl
}

// takeIdle returns the most recently used idle connection, so that the others can
// reach their idle timeout. It returns nil if no idle connection is usable, or only those
// in used.
func (p *pool) takeIdle(now time.Time, used *UsedConns) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	for i := len(p.idleConns) - 1; i >= 0; i-- {
		conn := p.idleConns[i]
		if used.has(conn) {
			continue
		}
		p.idleConns = slices.Delete(p.idleConns, i, i+1)
		if conn.usable(now) {
			return conn
		}
		conn.closeSocket()
		p.openConns--
	}
	return nil
}

func (p *pool) reserve(now time.Time, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	if p.openConns >= limit && len(p.idleConns) > 0 {
		// The idle connections that are left are those that the request can't use.
		p.idleConns[0].closeSocket()
		p.idleConns = slices.Delete(p.idleConns, 0, 1)
		p.openConns--
	}
	if p.openConns >= limit {
		return false
	}
	p.openConns++
	return true
}

func (p *pool) putIdle(conn *Conn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		conn.closeSocket()
		p.openConns--
		return
	}
	p.idleConns = append(p.idleConns, conn)
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// prune closes idle connections near their idle timeout. It marks the pool as
// removed and returns true if the pool has been unused for poolIdleTimeout.
func (p *pool) prune(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.idleConns[:0]
	for _, conn := range p.idleConns {
		if now.Sub(conn.idleSince) < conn.idleTimeout-idleTimeoutMargin(conn.idleTimeout) {
			remaining = append(remaining, conn)
			continue
		}
		conn.closeSocket()
		p.openConns--
	}
	p.idleConns = remaining
	if p.openConns > 0 || now.Sub(p.lastUsed) < poolIdleTimeout {
		return false
	}
	p.removed = true
	return true
}

func (p *pool) connect(ctx context.Context) (*Conn, error) {
	socket, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newConn(p, socket), nil
}

func newConn(p *pool, socket net.Conn) *Conn {
	responses := strictresponse.NewConn(socket)
	return &Conn{
		pool: p, socket: socket, responses: responses, reader: bufio.NewReaderSize(responses, readBufferBytes),
		idleTimeout: defaultIdleTimeout,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount,
		},
		Control: setTCPUserTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	return conn, errors.Trace(err)
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT, which bounds the time for which sent
// bytes may remain unacknowledged.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optionErr)
}
