package strictresponse_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fake/rawfake"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// TestCloseBeforeUploadArrives guards against a part of a response without a length that is taken for the whole,
// because its peer closed the connection when it had read all that had arrived of the request.
func TestCloseBeforeUploadArrives(t *testing.T) {
	for _, c := range []struct {
		name       string
		sendsLater bool
	}{{"after the whole request has arrived", false}, {"before the rest of the request arrives", true}} {
		Convey("Given a peer that responds without a length and closes the connection "+c.name, t, func() {
			const first, rest = "POST / HTTP/1.1\r\n", "Content-Length: 0\r\n\r\n"
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			peer, err := listener.Accept()
			So(err, ShouldBeNil)

			_, err = io.WriteString(conn, first)
			So(err, ShouldBeNil)
			_, err = io.ReadFull(peer, make([]byte, len(first)))
			So(err, ShouldBeNil)
			rawfake.Response{Text: "HTTP/1.1 200 OK\r\n\r\n" + rawfake.WholeBody}.Serve(peer)
			if c.sendsLater {
				_, err = io.WriteString(conn, rest)
				So(err, ShouldBeNil)
			}
			checked := strictresponse.NewConn(conn)
			upload := strictresponse.NewUpload()
			upload.End(nil)
			resp, err := checked.ReadResponse(bufio.NewReader(checked), strictresponse.Request{Method: http.MethodPost, Upload: upload})
			So(err, ShouldBeNil)
			_, err = io.ReadAll(resp.Body)
			So(resp.Body.Close(), ShouldBeNil)
			So(errors.Is(err, strictresponse.ErrCutOff), ShouldEqual, c.sendsLater)
		})
	}
}
