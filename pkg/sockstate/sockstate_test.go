package sockstate

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connPair returns the two ends of a loopback connection.
func connPair(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	local, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = local.Close()
		_ = remote.Close()
	})
	return local, remote
}

func waitForState(t *testing.T, conn net.Conn, expected State) {
	t.Helper()
	for range 200 {
		if Of(conn) == expected {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("state %v, want %v", Of(conn), expected)
}

func TestOf(t *testing.T) {
	Convey("An open connection without unread bytes is idle", t, func() {
		local, _ := connPair(t)
		So(Of(local), ShouldEqual, Idle)
	})
	Convey("Unread bytes are detected and not consumed", t, func() {
		local, remote := connPair(t)
		_, err := remote.Write([]byte("x"))
		So(err, ShouldBeNil)
		waitForState(t, local, Readable)
		waitForState(t, local, Readable)
	})
	Convey("A close by the peer is detected", t, func() {
		local, remote := connPair(t)
		So(remote.Close(), ShouldBeNil)
		waitForState(t, local, Closed)
	})
	Convey("A concurrent blocked read does not block Of", t, func() {
		local, remote := connPair(t)
		go func() {
			var buf [1]byte
			_, _ = local.Read(buf[:])
		}()
		time.Sleep(20 * time.Millisecond)
		result := make(chan State, 1)
		go func() { result <- Of(local) }()
		select {
		case state := <-result:
			So(state, ShouldEqual, Idle)
		case <-time.After(2 * time.Second):
			t.Fatal("Of waits for the blocked read")
		}
		So(remote.Close(), ShouldBeNil)
	})
	Convey("The state of a connection without a socket is unknown", t, func() {
		local, remote := net.Pipe()
		So(Of(local), ShouldEqual, Unknown)
		_ = local.Close()
		_ = remote.Close()
	})
}
