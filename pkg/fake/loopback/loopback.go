// Package loopback finds free addresses for tests whose processes need each
// other's addresses before they listen.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

// Candidate ports range from firstPort up to, but not including, portLimit. The
// range is below the operating system's ephemeral ports, because an outgoing
// connection could occupy such a port before the process listens on it.
const (
	firstPort   = 10_000
	portLimit   = 30_000
	maxAttempts = 100
)

// nextPort is the offset of the next candidate port. It begins at random, since the tests of
// several packages run at the same time.
var nextPort atomic.Uint64

func init() { nextPort.Store(rand.Uint64N(portLimit - firstPort)) }

// FreeAddress returns a loopback address, host:port, on which no process
// listens at the time of the call, neither on TCP nor on UDP. It takes the ports in turn, so
// that two calls don't return the same one before a process listens on it.
func FreeAddress() (string, error) {
	var lastErr error
	for range maxAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(portLimit-firstPort))
		if lastErr = checkFree(address); lastErr == nil {
			return address, nil
		}
	}
	return "", errors.Annotate(lastErr, "no free address")
}

func checkFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(packets.Close())
}
