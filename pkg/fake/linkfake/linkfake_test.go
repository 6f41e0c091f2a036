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

// echo serves an echo on loopback.
func echo(t *testing.T) string {
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

// answered sends a byte and says whether it comes back within wait.
func answered(conn net.Conn, wait time.Duration) (bool, error) {
	if _, err := conn.Write([]byte("x")); err != nil {
		return false, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.Read(make([]byte, 1))
	return err == nil, err
}

func TestLink(t *testing.T) {
	const long, short = 10 * time.Second, 50 * time.Millisecond
	Convey("Given a link to an echo", t, func() {
		link, err := Start(echo(t))
		So(err, ShouldBeNil)
		Reset(link.Close)
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", link.Addr())
			So(err, ShouldBeNil)
			Reset(func() { _ = conn.Close() })
			return conn
		}
		conn := dial()
		ok, _ := answered(conn, long)
		So(ok, ShouldBeTrue)
		Convey("silence swallows bytes of open connections only", func() {
			for _, direction := range []Direction{ToServer, ToClient, Both} {
				old := dial()
				ok, _ = answered(old, long)
				So(ok, ShouldBeTrue)
				link.DropTraffic(direction)
				ok, err = answered(old, short)
				So(ok, ShouldBeFalse)
				So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
				ok, _ = answered(dial(), long)
				So(ok, ShouldBeTrue)
			}
		})
		Convey("a cut ends open connections only", func() {
			link.CloseConnections()
			_ = conn.SetReadDeadline(time.Now().Add(long))
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeFalse)
			ok, _ = answered(dial(), long)
			So(ok, ShouldBeTrue)
		})
	})
}
