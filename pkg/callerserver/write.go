package callerserver

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultWriteTimeout is the longest time for the write of each writePartBytes. A
	// caller that reads 3.2 KiB a second meets it.
	defaultWriteTimeout = 5 * time.Second
	writePartBytes      = 16 << 10
)

// SetWriteDeadline implements net.Conn. The deadline replaces the time limit of the
// writes that follow, until the next request.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return c.TCPConn.SetWriteDeadline(deadline)
}

// Write implements net.Conn. Before the handler begins, only the HTTP server
// itself writes, to reject a malformed request, and the encryption its handshake.
// Each part of the data has its time, so that a caller that doesn't read doesn't keep its
// connection.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase < handling && !c.isEncrypted() {
		c.beginPhase(answered)
	}
	hasDeadline := !c.writeDeadline.IsZero()
	c.mu.Unlock()
	if hasDeadline {
		return c.TCPConn.Write(p)
	}
	written := 0
	for part := range slices.Chunk(p, writePartBytes) {
		// Setting the deadline fails only on a closed connection, where writes fail too.
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(cmp.Or(c.server.config.WriteTimeout, defaultWriteTimeout)))
		n, err := c.TCPConn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
