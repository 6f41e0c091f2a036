package targetconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Bounds of connections to targets.
const (
	// DialTimeout bounds a new connection.
	DialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes the peer doesn't acknowledge.
	userTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval are those of TCP's own probes, which
	// find idle connections that went silent.
	keepAliveIdle     = 500 * time.Millisecond
	keepAliveInterval = 300 * time.Millisecond
	keepAliveCount    = 2
	// defaultKeepAlive is used until a target names its idle timeout.
	defaultKeepAlive = 4 * time.Second
	// poolIdleTimeout is when the pool of a target without requests is dropped.
	poolIdleTimeout = 20 * time.Second
)

// ErrTooMany means that the target has as many connections as it may get.
const ErrTooMany = errors.ConstError("no connection left for the target")

// Pools holds the connections to all targets. It is safe for concurrent use.
type Pools struct {
	mu     sync.Mutex
	byBoot map[fleet.Boot]*pool
}

type pool struct {
	mu      sync.Mutex
	address string
	idle    []*Conn
	open    int
	used    time.Time
	dropped bool
}

// NewPools returns Pools without connections.
func NewPools() *Pools {
	return &Pools{byBoot: map[fleet.Boot]*pool{}}
}

// Get returns an idle or new connection to a target that has at most limit open
// ones. On an error nothing was sent.
func (p *Pools) Get(ctx context.Context, target *fleet.Target, limit int) (*Conn, error) {
	pl := p.pool(target)
	now := time.Now()
	if conn := pl.take(now); conn != nil {
		return conn, nil
	}
	if !pl.reserve(now, limit) {
		return nil, ErrTooMany
	}
	conn, err := pl.dial(ctx)
	if err != nil {
		pl.closed()
		return nil, errors.Annotatef(err, "connecting to target %s", target.ID)
	}
	return conn, nil
}

// Prune closes idle connections past their time and drops unused pools.
func (p *Pools) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for boot, pl := range p.byBoot {
		if pl.prune(now) {
			delete(p.byBoot, boot)
		}
	}
}

func (p *Pools) pool(target *fleet.Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	boot := target.Boot()
	pl, ok := p.byBoot[boot]
	if !ok {
		pl = &pool{address: target.Address}
		p.byBoot[boot] = pl
	}
	return pl
}

// take returns the connection that idles shortest, so that others may lapse.
func (p *pool) take(now time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = now
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if conn.usable(now) {
			return conn
		}
		conn.hangUp()
		p.open--
	}
	return nil
}

func (p *pool) reserve(now time.Time, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = now
	if p.open >= limit {
		return false
	}
	p.open++
	return true
}

func (p *pool) put(conn *Conn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dropped {
		conn.hangUp()
		p.open--
		return
	}
	p.idle = append(p.idle, conn)
}

func (p *pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// prune says whether the pool is unused for so long that it can be dropped.
func (p *pool) prune(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Sub(conn.idleSince) < conn.keepAlive-keepAliveMargin(conn.keepAlive) {
			kept = append(kept, conn)
			continue
		}
		conn.hangUp()
		p.open--
	}
	p.idle = kept
	if p.open > 0 || now.Sub(p.used) < poolIdleTimeout {
		return false
	}
	p.dropped = true
	return true
}

func (p *pool) dial(ctx context.Context) (*Conn, error) {
	dialer := net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Conn{pool: p, net: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), keepAlive: defaultKeepAlive}, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optionErr)
}
