package linkfake

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startEchoServer starts an echo server on loopback and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// echoes sends a byte and reports whether the echo arrives before the timeout
// wait.
func echoes(conn net.Conn, wait time.Duration) (bool, error) {
	if _, err := conn.Write([]byte("x")); err != nil {
		return false, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.Read(make([]byte, 1))
	return err == nil, err
}

func TestLink(t *testing.T) {
	const longWait, shortWait = 10 * time.Second, 50 * time.Millisecond
	Convey("Given a link to an echo server", t, func() {
		link, err := Start(startEchoServer(t))
		So(err, ShouldBeNil)
		Reset(link.Close)
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", link.Addr())
			So(err, ShouldBeNil)
			Reset(func() { _ = conn.Close() })
			return conn
		}
		conn := dial()
		ok, _ := echoes(conn, longWait)
		So(ok, ShouldBeTrue)
		Convey("Dropping traffic affects only the connections open at the time", func() {
			for _, direction := range []Direction{ToServer, ToClient, Both} {
				old := dial()
				ok, _ = echoes(old, longWait)
				So(ok, ShouldBeTrue)
				link.DropTraffic(direction)
				ok, err = echoes(old, shortWait)
				So(ok, ShouldBeFalse)
				So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
				ok, _ = echoes(dial(), longWait)
				So(ok, ShouldBeTrue)
			}
		})
		Convey("Closing connections affects only the connections open at the time", func() {
			link.CloseConnections()
			_ = conn.SetReadDeadline(time.Now().Add(longWait))
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeFalse)
			ok, _ = echoes(dial(), longWait)
			So(ok, ShouldBeTrue)
		})
		Convey("A fault is recorded for each connection that it affects, and for no other", func() {
			So(link.Disturbances(), ShouldBeEmpty)
			startedAt := time.Now()
			link.DropTraffic(ToClient)
			So(link.Disturbances(), ShouldHaveLength, 1)
			dropped := link.Disturbances()[0]
			So(dropped.Start, ShouldHappenOnOrAfter, startedAt)
			So(dropped.End.IsZero(), ShouldBeTrue)
			undisturbed := dial()
			ok, _ = echoes(undisturbed, longWait)
			So(ok, ShouldBeTrue)
			So(undisturbed.Close(), ShouldBeNil)
			for link.openConnections() > 1 {
				time.Sleep(time.Millisecond)
			}
			link.CloseConnections()
			for link.openConnections() > 0 {
				time.Sleep(time.Millisecond)
			}
			So(link.Disturbances(), ShouldHaveLength, 1)
			So(link.Disturbances()[0].ConnAddr, ShouldEqual, dropped.ConnAddr)
			So(link.Disturbances()[0].End, ShouldHappenOnOrAfter, dropped.Start)
		})
		Convey("A connection that is rejected because the link is down is recorded without an address", func() {
			link.SetDown(true)
			// The fault on the open connection is recorded when that has ended.
			for link.openConnections() > 0 {
				time.Sleep(time.Millisecond)
			}
			ok, _ = echoes(dial(), longWait)
			So(ok, ShouldBeFalse)
			disturbances := link.Disturbances()
			So(disturbances[len(disturbances)-1].ConnAddr, ShouldBeEmpty)
		})
	})
}

// openConnections returns the number of open connections.
func (l *Link) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pairs)
}
