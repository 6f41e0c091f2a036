package oncehttp

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestSeal(t *testing.T) {
	Convey("A request is reported as sent if its connection was written to; otherwise it is reported as not sent and the connection is sealed", t, func() {
		local, remote := net.Pipe()
		defer remote.Close()
		go func() { _, _ = remote.Read(make([]byte, 8)) }()
		conn := &sealableConn{Conn: local}

		var written requestTracker
		written.gotConn(httptrace.GotConnInfo{Conn: conn})
		_, err := conn.Write([]byte("x"))
		So(err, ShouldBeNil)
		So(written.sent(), ShouldBeTrue)

		var unwritten requestTracker
		unwritten.gotConn(httptrace.GotConnInfo{Conn: conn})
		So(unwritten.sent(), ShouldBeFalse)
		_, err = conn.Write([]byte("y"))
		So(errors.Is(err, errSealed), ShouldBeTrue)
		So(unwritten.sent(), ShouldBeFalse)
	})
	Convey("A request whose connection attempt times out is reported as not sent", t, func() {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1:1/", nil)
		So(err, ShouldBeNil)
		resp, sent, err := New(time.Nanosecond).Do(req)
		if resp != nil {
			resp.Body.Close()
		}
		So(err, ShouldNotBeNil)
		So(sent, ShouldBeFalse)
	})
}
