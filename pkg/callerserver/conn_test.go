package callerserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
)

// newTestServer returns a server without a handler.
func newTestServer(limits fleet.ClientLimits) *Server {
	return New(Config{Log: eventlog.Discard(), Limits: func() fleet.ClientLimits { return limits }})
}

// connPair returns a server's connection and its caller's end.
func connPair(t *testing.T, server *Server) (*conn, net.Conn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	c := server.track(accepted)
	Reset(func() {
		_ = caller.Close()
		_ = c.Close()
	})
	return c, caller
}

// awaitUnread waits until bytes have arrived on a connection.
func awaitUnread(c *conn) {
	for sockstate.Of(c.TCPConn) != sockstate.Readable {
		time.Sleep(time.Millisecond)
	}
}

// TestUnreadRequestAtDeadline guards against a request that is closed unread because
// the process was not scheduled between its arrival and the connection's deadline.
func TestUnreadRequestAtDeadline(t *testing.T) {
	longAgo := time.Now().Add(-time.Hour)
	server := func() *Server { return newTestServer(fleet.ClientLimits{}) }
	readAfterDeadline := func(c *conn, caller net.Conn) string {
		_, err := io.WriteString(caller, "request")
		So(err, ShouldBeNil)
		awaitUnread(c)
		c.applyDeadline()
		buffer := make([]byte, 64)
		n, err := c.Read(buffer)
		So(err, ShouldBeNil)
		return string(buffer[:n])
	}
	Convey("A request that has arrived is read", t, func() {
		Convey("although a drain closes idle connections", func() {
			s := server()
			c, caller := connPair(t, s)
			c.since = longAgo
			s.drain = drain{startedAt: longAgo, refuseAt: time.Now().Add(time.Hour)}
			So(readAfterDeadline(c, caller), ShouldEqual, "request")
		})
		Convey("although the idle timeout has passed", func() {
			c, caller := connPair(t, server())
			c.since = longAgo
			So(readAfterDeadline(c, caller), ShouldEqual, "request")
		})
		Convey("although the header timeout has passed", func() {
			c, caller := connPair(t, server())
			c.phase, c.since = readingHeader, longAgo
			So(readAfterDeadline(c, caller), ShouldEqual, "request")
		})
	})
	Convey("A connection without a request is closed at its deadline", t, func() {
		c, caller := connPair(t, server())
		c.since = longAgo
		c.applyDeadline()
		_, err := c.Read(make([]byte, 64))
		So(err, ShouldNotBeNil)
		_, err = caller.Read(make([]byte, 64))
		So(err, ShouldEqual, io.EOF)
	})
}

// TestLimitsInForce guards against a connection that is closed by limits which are
// no longer in force, or without an answer.
func TestLimitsInForce(t *testing.T) {
	Convey("A longer timeout applies to connections that are open", t, func() {
		var limits atomic.Pointer[fleet.ClientLimits]
		limits.Store(&fleet.ClientLimits{IdleTimeout: 100 * time.Millisecond})
		s := New(Config{Log: eventlog.Discard(), Limits: func() fleet.ClientLimits { return *limits.Load() }})
		c, caller := connPair(t, s)
		limits.Store(&fleet.ClientLimits{IdleTimeout: time.Hour})
		time.AfterFunc(300*time.Millisecond, func() { _, _ = io.WriteString(caller, "request") })
		n, err := c.Read(make([]byte, 64))
		So(err, ShouldBeNil)
		So(n, ShouldEqual, len("request"))
	})
	Convey("A header beyond the limit is refused", t, func() {
		c, caller := connPair(t, newTestServer(fleet.ClientLimits{HeaderBytes: 1000}))
		go func() { _, _ = io.WriteString(caller, strings.Repeat("x", 1001+readAheadBytes)) }()
		status := make(chan int, 1)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err == nil {
				_ = resp.Body.Close()
				status <- resp.StatusCode
			}
			_ = caller.Close()
		}()
		_, err := io.Copy(io.Discard, struct{ io.Reader }{c})
		So(err, ShouldEqual, net.ErrClosed)
		So(<-status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
}
