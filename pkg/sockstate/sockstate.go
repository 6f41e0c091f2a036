// Package sockstate looks, without waiting, at what a connection's peer has
// done. It takes no bytes from the connection.
package sockstate

import (
	"net"
	"syscall"

	"github.com/juju/errors"
)

// State is what the peer has done since the last byte was read.
type State int

// States.
const (
	// Unknown: the connection has no socket to look at, or can't be looked at.
	Unknown State = iota
	// Silent: the connection is open and nothing has arrived.
	Silent
	// Readable: bytes have arrived that nobody has read.
	Readable
	// Closed: the peer has closed or reset the connection.
	Closed
)

// Of returns the state of a connection.
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
	// Control, unlike Read, doesn't wait for a reader that is blocked.
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return Silent
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
