package callerserver

import (
	"net"
	"os"
	"time"

	"github.com/juju/errors"
)

const (
	// acceptQuiet is the time without a new connection after which a drain takes
	// the listener's queue for empty.
	acceptQuiet = 50 * time.Millisecond
	// acceptLimit is the longest time for which a drain accepts connections.
	acceptLimit = 500 * time.Millisecond
)

// listener accepts the callers' connections.
type listener struct {
	*net.TCPListener
	server *Server
}

// Accept implements net.Listener. During a drain it accepts the connections that
// wait in the queue, since closing the listener would reset them, and then returns
// net.ErrClosed, on which the HTTP server closes the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		draining := l.limitAccept()
		tcp, err := l.AcceptTCP()
		if err == nil {
			if c := l.server.admit(tcp); c != nil {
				return c, nil
			}
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			// http.Server examines the type of the error.
			return nil, err
		}
		if draining {
			// The HTTP server closes the listener.
			return nil, net.ErrClosed
		}
	}
}

// limitAccept sets the deadline of the next call to accept. It reports whether
// the server is draining.
func (l *listener) limitAccept() bool {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drain.startedAt.IsZero() {
		return false
	}
	deadline := earlier(time.Now().Add(acceptQuiet), s.drain.startedAt.Add(acceptLimit))
	// The deadline of a closed listener can't be set, and accept fails too.
	_ = l.SetDeadline(deadline)
	return true
}

// interrupt ends a pending call to accept. The caller must hold the server's lock.
func (l *listener) interrupt() {
	_ = l.SetDeadline(time.Now())
}
