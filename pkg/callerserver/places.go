package callerserver

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
)

const (
	// evictionAge is the time without a request, or with an incomplete header, after which
	// a connection may have to make room for another one. It leaves a new caller the time
	// to send its request.
	evictionAge = time.Second
	// evictionReserve is the fraction (one in this number) of the largest number of
	// connections that may be open in addition, while evicted ones are being closed.
	evictionReserve = 8
	// limitLogInterval is the shortest time between two log lines on the limit.
	limitLogInterval = time.Second
)

// places counts what the limit on connections has done.
type places struct {
	mu               sync.Mutex
	loggedAt         time.Time
	refused, evicted int64
}

// admit returns the conn for a new connection. It closes it and returns nil if there are too
// many connections or there is no memory for it. A connection without a request is evicted for
// it if its address has at least two connections more than that of the new one.
func (s *Server) admit(tcp *net.TCPConn) *conn {
	address := remoteAddress(tcp)
	if !s.reserveConn(address) {
		s.refuseConn(tcp)
		return nil
	}
	c := s.track(tcp)
	c.mu.Lock()
	hasMemory := c.memory.Grow(ConnMemory)
	c.mu.Unlock()
	if hasMemory {
		return c
	}
	s.evictOne(s.trackedConns(), address)
	s.refuseConn(c)
	return nil
}

// reserveConn reports whether a connection of an address may be added. It evicts another one
// if that is necessary and possible.
func (s *Server) reserveConn(address netip.Addr) bool {
	limit := s.config.MaxConns
	if limit <= 0 || s.openConns() < limit {
		return true
	}
	conns := s.trackedConns()
	kept := 0
	for _, c := range conns {
		if !c.evicted.Load() {
			kept++
		}
	}
	if kept >= limit && s.evictOne(conns, address) {
		kept--
	}
	return kept < limit && len(conns) < limit+max(1, limit/evictionReserve)
}

// evictOne makes one connection without a request close, and reports whether there was
// one. It takes it from the address with the most connections: first one that has never
// had a request, and of these the oldest.
func (s *Server) evictOne(conns []*conn, newcomer netip.Addr) bool {
	counts := map[netip.Addr]int{}
	for _, c := range conns {
		if !c.evicted.Load() {
			counts[c.address]++
		}
	}
	var victim *conn
	var best evictionRank
	for _, c := range conns {
		if c.address != newcomer && counts[c.address] <= counts[newcomer]+1 {
			continue
		}
		v, ok := c.evictionRank()
		v.share = counts[c.address]
		if ok && (victim == nil || v.before(best)) {
			victim, best = c, v
		}
	}
	if victim == nil || !victim.evict() {
		return false
	}
	s.places.mu.Lock()
	s.places.evicted++
	s.places.mu.Unlock()
	s.meters.evicted.Inc(1)
	s.logLimit(victim.RemoteAddr())
	return true
}

// evictionRank orders connections for eviction: first those of the address with the most
// connections, then those that never had a request, then the oldest.
type evictionRank struct {
	// share is the number of connections of the same address.
	share     int
	hasServed bool
	since     time.Time
}

// before reports whether a connection is to be given up before another one.
func (v evictionRank) before(other evictionRank) bool {
	switch {
	case v.share != other.share:
		return v.share > other.share
	case v.hasServed != other.hasServed:
		return !v.hasServed
	default:
		return v.since.Before(other.since)
	}
}

// evictionRank returns how well the connection can be given up, and whether it can be at all.
func (c *conn) evictionRank() (evictionRank, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.evicted.Load() || c.phase > readingHeader || time.Since(c.since) < evictionAge {
		return evictionRank{}, false
	}
	return evictionRank{hasServed: c.hasServed, since: c.since}, true
}

// evict makes the connection close unless a request has arrived, and reports whether it does.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase > readingHeader || (c.phase == waiting && sockstate.Of(c.TCPConn) == sockstate.Readable) {
		return false
	}
	c.evicted.Store(true)
	// This ends the pending read.
	_ = c.setDeadline()
	return true
}

// refuseConn refuses a new connection.
func (s *Server) refuseConn(netConn net.Conn) {
	s.places.mu.Lock()
	s.places.refused++
	s.places.mu.Unlock()
	s.meters.refused.Inc(1)
	s.logLimit(netConn.RemoteAddr())
	if s.config.TLS == nil {
		// The refusal fits into the buffer of a new connection. If it can't be written, the
		// caller has disconnected.
		_ = netConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(netConn, headEvicted.response())
	}
	_ = netConn.Close()
}

// logLimit logs that the limit on connections is reached.
func (s *Server) logLimit(remote net.Addr) {
	p := &s.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.loggedAt) < limitLogInterval {
		return
	}
	p.loggedAt = time.Now()
	s.config.Log.Log(eventlog.CallerConnsLimited, "server", s.config.Name, "remote", remote.String(), "conns", s.openConns(),
		"limit", s.config.MaxConns, "refused", p.refused, "evicted", p.evicted, "memory_used", s.config.Memory.Used())
}

// remoteAddress returns the address of a connection's caller, without its port.
func remoteAddress(conn net.Conn) netip.Addr {
	if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
