package callerserver

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/membudget"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
)

// refusalTimeout bounds the write of a refusal, and then the time for which the
// rest of the request is read.
const refusalTimeout = 500 * time.Millisecond

// phase is the progress of a connection's current request.
type phase int

const (
	// waiting: no byte of the next request has been read.
	waiting phase = iota
	// readingHeader: part of a request's header has been read.
	readingHeader
	// received: the header has been read, and the handler hasn't begun.
	received
	// handling: the handler runs.
	handling
	// answered: the handler has returned or aborted. The HTTP server may still write
	// the end of the response; a connection closed from here on is not counted.
	answered
)

var phaseNames = [...]string{"waiting", "reading_header", "received", "handling", "answered"}

func (p phase) String() string { return phaseNames[p] }

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
	server *Server

	mu    sync.Mutex
	phase phase
	// since is the time at which the phase began.
	since time.Time
	// requestID is the ID of the latest request that the handler received.
	requestID string
	// headerBytes is the number of bytes read since the phase waiting ended.
	headerBytes int
	// handlerDeadline is the read deadline while a handler runs; zero if there is
	// none. During a drain it is not later than the time from which incomplete
	// requests are refused.
	handlerDeadline time.Time
	// writeDeadline is the write deadline that a handler has set; zero if it set none.
	writeDeadline time.Time
	closed        bool
	// lastRead is the time of the latest bytes that were read.
	lastRead time.Time
	// bodyStopped is set when the body that is being read is given up.
	bodyStopped bool
	// memory, head and request are the memory of the connection, of the header that is
	// being read or handled, and of its handling.
	memory, head, request *membudget.Claim
	// hasServed is set once a handler has begun.
	hasServed bool
	// evicted is set when the connection has to make room for another one. It is closed
	// unless a request has arrived.
	evicted atomic.Bool
	address netip.Addr
}

// Read implements net.Conn. It keeps to the deadline of the phase. Bytes that have
// arrived when the deadline passes are still read.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if refused := c.recordRead(p[:n]); refused != nil {
			c.refuse(refused)
			return 0, net.ErrClosed
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.extendDeadline() {
			continue
		}
		c.endWait()
		return 0, err
	}
}

// recordRead records the bytes that were read, and the beginning of a header. It returns
// the refusal of a header beyond its limit, or without memory left for it; nil otherwise.
func (c *conn) recordRead(p []byte) *headRefusal {
	if len(p) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waiting {
		c.headerBytes = 0
		c.beginPhase(readingHeader)
	}
	c.headerBytes += len(p)
	c.lastRead = time.Now()
	// This restores the deadline that extendDeadline may have removed. It fails only
	// on a closed connection.
	_ = c.setDeadline()
	switch {
	case c.phase != readingHeader:
		return nil
	case c.headerBytes > c.server.headerBytes():
		return headTooLarge
	case !c.head.Grow(c.headMemory(p)):
		return headWithoutMemory
	}
	return nil
}

// SetReadDeadline implements net.Conn. The deadline applies while a handler runs.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlerDeadline = deadline
	return c.setDeadline()
}

// applyDeadline sets the read deadline of the present phase on the socket. It
// affects a pending read.
func (c *conn) applyDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.setDeadline()
}

// setDeadline is applyDeadline for callers that hold c.mu.
func (c *conn) setDeadline() error {
	return c.TCPConn.SetReadDeadline(c.deadline())
}

// deadline returns the read deadline of the present phase, or the zero time for
// none. The caller must hold c.mu.
func (c *conn) deadline() time.Time {
	if c.evicted.Load() && c.phase <= readingHeader {
		return c.since
	}
	drain := c.server.drainTimes()
	switch c.phase {
	case waiting:
		deadline := c.since.Add(c.server.idleTimeout())
		if drain.startedAt.IsZero() {
			return deadline
		}
		return earlier(deadline, later(c.since, drain.startedAt).Add(drainLinger))
	case readingHeader:
		deadline := c.since.Add(c.server.headerTimeout())
		if drain.refuseAt.IsZero() {
			return deadline
		}
		return earlier(deadline, drain.refuseAt)
	default:
		if c.bodyStopped && !c.handlerDeadline.IsZero() {
			return c.lastRead
		}
		if c.handlerDeadline.IsZero() || drain.refuseAt.IsZero() {
			return c.handlerDeadline
		}
		return earlier(c.handlerDeadline, drain.refuseAt)
	}
}

// extendDeadline reports whether a read whose deadline passed is to be repeated:
// the deadline has moved, or bytes of a request have arrived. A process that was
// not scheduled for some time finds both the expired deadline and the bytes.
func (c *conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.deadline()
	if deadline.IsZero() || time.Now().Before(deadline) {
		return c.setDeadline() == nil
	}
	if c.phase > readingHeader || sockstate.Of(c.TCPConn) != sockstate.Readable {
		return false
	}
	if c.evicted.Load() {
		if c.phase == readingHeader {
			return false
		}
		c.evicted.Store(false)
	}
	return c.TCPConn.SetReadDeadline(time.Time{}) == nil
}

// endWait ends a wait for a request whose deadline has passed. A request whose
// header has arrived in part is refused; a connection without a request is closed.
func (c *conn) endWait() {
	c.mu.Lock()
	phase := c.phase
	c.mu.Unlock()
	switch phase {
	case waiting:
		_ = c.Close()
	case readingHeader:
		if c.evicted.Load() {
			c.refuse(headEvicted)
			return
		}
		c.refuse(headTimeout)
	case received, handling, answered:
	}
}

// refuse responds to a request whose header has not been read completely, and
// closes the connection. An encrypted connection is closed without a response.
func (c *conn) refuse(refusal *headRefusal) {
	c.logRefusal(refusal)
	// If a write fails, the caller has disconnected.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if !c.isEncrypted() {
		_, _ = io.WriteString(c, refusal.response())
	}
	_ = c.CloseWrite()
	c.discardUnread()
	_ = c.Close()
}

// discardUnread reads on for a short time, because closing a socket with unread
// bytes resets the connection, and the caller may lose the response.
func (c *conn) discardUnread() {
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.Copy(io.Discard, c.TCPConn)
}

// isEncrypted reports whether the connection carries TLS records.
func (c *conn) isEncrypted() bool { return c.server.config.TLS != nil }

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginPhase(p)
}

func (c *conn) beginRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID = id
	c.hasServed = true
	c.evicted.Store(false)
	c.bodyStopped = false
	c.writeDeadline = time.Time{}
	c.beginPhase(handling)
}

// beginPhase changes the phase. The caller must hold c.mu.
func (c *conn) beginPhase(p phase) {
	c.phase = p
	c.since = time.Now()
	if p == waiting || p == answered {
		c.releaseRequest()
	}
	// A deadline can't be set on a closed connection, where reads fail too.
	_ = c.setDeadline()
}

// Close implements net.Conn. It logs a connection that is closed on an unanswered
// request.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.reportCut()
		c.releaseRequest()
		c.memory.Release()
		c.server.forget(c)
	}
	return c.TCPConn.Close()
}

// reportCut logs and counts the connection if it is about to be closed on an
// unanswered request that its caller still waits for. The caller must hold c.mu.
func (c *conn) reportCut() {
	if c.phase == answered {
		return
	}
	state := sockstate.Of(c.TCPConn)
	if state == sockstate.Closed || (c.phase == waiting && state != sockstate.Readable) {
		return
	}
	c.server.cut.Add(1)
	requestID := ""
	if c.phase == handling {
		requestID = c.requestID
	}
	c.server.config.Log.Log(eventlog.CallerCut, "remote", c.RemoteAddr().String(), "request_id", requestID,
		"phase", c.phase.String(), "unread", state == sockstate.Readable, "phase_ms", time.Since(c.since).Milliseconds())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
