package callerserver

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TestListenerAcceptsItsQueue guards against connections that are reset because a
// drain closes the listener before it has accepted them.
func TestListenerAcceptsItsQueue(t *testing.T) {
	Convey("A listener that drains accepts the connections in its queue before it fails", t, func() {
		const queued = 20
		tcp, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		So(err, ShouldBeNil)
		Reset(func() { _ = tcp.Close() })
		for range queued {
			caller, err := net.Dial("tcp4", tcp.Addr().String())
			So(err, ShouldBeNil)
			Reset(func() { _ = caller.Close() })
		}
		s := newTestServer(fleet.ClientLimits{})
		l := &listener{TCPListener: tcp, server: s}
		s.listener = l
		s.startDrain(drain{startedAt: time.Now(), refuseAt: time.Now().Add(time.Hour)})
		accepted := 0
		for {
			c, err := l.Accept()
			if err != nil {
				So(err, ShouldEqual, net.ErrClosed)
				break
			}
			accepted++
			_ = c.Close()
		}
		So(accepted, ShouldEqual, queued)
	})
}
