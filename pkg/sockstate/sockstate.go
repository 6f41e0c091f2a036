// Package sockstate determines, without blocking, whether a connection's peer has
// sent data, received data or closed the connection. It consumes no bytes from the
// connection.
package sockstate

import (
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// State is the read state of a connection.
type State int

// The states of a connection.
const (
	// Unknown means that the connection has no socket that can be inspected.
	Unknown State = iota
	// Idle means that the connection is open and no unread bytes have arrived.
	Idle
	// Readable means that unread bytes have arrived.
	Readable
	// Closed means that the connection has been closed or reset.
	Closed
)

// Of returns the state of a connection without blocking.
func Of(conn net.Conn) State {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	// Control, unlike Read, does not wait for a concurrent blocked read.
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

// Unacknowledged returns the number of bytes written to a connection whose receipt the peer has not
// acknowledged. It reports false if that is not known.
func Unacknowledged(conn net.Conn) (bytes int, known bool) {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return bytes, err == nil && ioctlErr == nil
}

func peek(fd int) State {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
