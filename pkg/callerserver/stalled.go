package callerserver

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/sockstate"
)

const (
	// stalledBodyAge is the time without a byte of a body after which the body may be given
	// up while memory is refused to others. Without that, the configured times apply.
	stalledBodyAge = 2 * time.Second
	// maxStoppedBodies is the largest number of bodies that are given up at once.
	maxStoppedBodies = 4
)

// relieve gives up bodies that have stalled, so that a crowd of them doesn't keep all the
// memory until their deadlines. It doesn't block.
func (s *Server) relieve() {
	if !s.relieving.CompareAndSwap(false, true) {
		return
	}
	// The caller may hold the lock of a connection.
	go func() {
		defer s.relieving.Store(false)
		s.stopStalledBodies()
	}()
}

// stopStalledBodies gives up the bodies that have stalled for the longest time. Their
// handlers find that the read deadline has passed, and refuse the requests as not run.
func (s *Server) stopStalledBodies() {
	type stalledConn struct {
		conn  *conn
		since time.Time
	}
	var stalled []stalledConn
	for _, c := range s.trackedConns() {
		if since, ok := c.stalledSince(); ok {
			stalled = append(stalled, stalledConn{c, since})
		}
	}
	slices.SortFunc(stalled, func(a, b stalledConn) int { return a.since.Compare(b.since) })
	for _, candidate := range stalled[:min(len(stalled), maxStoppedBodies)] {
		candidate.conn.stopBody()
	}
}

// stalledSince returns the time of the latest byte of a body that has stalled.
func (c *conn) stalledSince() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead, c.isStalled()
}

// isStalled reports whether a handler waits for a body that has stalled. The caller must
// hold c.mu. Only handlers that read a body set a read deadline.
func (c *conn) isStalled() bool {
	return c.phase == handling && !c.bodyStopped && !c.handlerDeadline.IsZero() && time.Since(c.lastRead) >= stalledBodyAge
}

// stopBody ends the read of a body, unless it goes on: bytes that have arrived may not have
// been read yet.
func (c *conn) stopBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStalled() && sockstate.Of(c.TCPConn) != sockstate.Readable {
		c.bodyStopped = true
		c.server.meters.stopped.Inc(1)
		_ = c.setDeadline()
	}
}
