// Package loopback finds free addresses for tests whose processes need each
// other's addresses before they listen.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

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

// FreeAddress returns a loopback address, host:port, on which no process
// listens at the time of the call, neither on TCP nor on UDP.
func FreeAddress() (string, error) {
	var lastErr error
	for range maxAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portLimit-firstPort))
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
