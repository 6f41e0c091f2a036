package callerserver

import (
	"net"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
)

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
	// answered: the response has been written.
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
	closed    bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.recordRead()
	}
	return n, err
}

func (c *conn) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waiting {
		c.beginPhase(readingHeader)
	}
}

// Write implements net.Conn. Before the handler begins, only the HTTP server
// itself writes, to reject a malformed request.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase < handling {
		c.beginPhase(answered)
	}
	c.mu.Unlock()
	return c.TCPConn.Write(p)
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginPhase(p)
}

func (c *conn) beginRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID = id
	c.beginPhase(handling)
}

// beginPhase changes the phase. The caller must hold c.mu.
func (c *conn) beginPhase(p phase) {
	c.phase = p
	c.since = time.Now()
}

// Close implements net.Conn. It logs a connection that is closed on an unanswered
// request.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.reportCut()
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
