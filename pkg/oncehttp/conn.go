package oncehttp

import (
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// errSealed is the error of writes to a sealed connection.
const errSealed = errors.ConstError("connection sealed: its request was reported as not sent")

// sealableConn is a connection that counts its writes and can be sealed, after
// which all writes fail.
type sealableConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// SyscallConn implements syscall.Conn.
func (c *sealableConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("system calls on %T", c.Conn)
	}
	return conn.SyscallConn()
}

// Write implements net.Conn. It fails if the connection is sealed.
func (c *sealableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// writeCount returns the number of writes started so far.
func (c *sealableConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten seals the connection if no write has started since writeCount
// returned writesBefore, and reports whether it did.
func (c *sealableConn) sealIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}
