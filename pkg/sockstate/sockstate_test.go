package sockstate

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// pair returns the two ends of a loopback connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func await(t *testing.T, conn net.Conn, want State) {
	t.Helper()
	for range 200 {
		if Of(conn) == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("state %v, want %v", Of(conn), want)
}

func TestOf(t *testing.T) {
	Convey("An open connection without bytes is silent", t, func() {
		near, _ := pair(t)
		So(Of(near), ShouldEqual, Silent)
	})
	Convey("Bytes that nobody read are seen, and stay", t, func() {
		near, far := pair(t)
		_, err := far.Write([]byte("x"))
		So(err, ShouldBeNil)
		await(t, near, Readable)
		await(t, near, Readable)
	})
	Convey("A close is seen", t, func() {
		near, far := pair(t)
		So(far.Close(), ShouldBeNil)
		await(t, near, Closed)
	})
	Convey("A reader that waits doesn't hold the look up", t, func() {
		near, far := pair(t)
		go func() {
			var one [1]byte
			_, _ = near.Read(one[:])
		}()
		time.Sleep(20 * time.Millisecond)
		looked := make(chan State, 1)
		go func() { looked <- Of(near) }()
		select {
		case state := <-looked:
			So(state, ShouldEqual, Silent)
		case <-time.After(2 * time.Second):
			t.Fatal("the look waits for the reader")
		}
		So(far.Close(), ShouldBeNil)
	})
	Convey("A connection without a socket is unknown", t, func() {
		near, far := net.Pipe()
		So(Of(near), ShouldEqual, Unknown)
		_ = near.Close()
		_ = far.Close()
	})
}
