package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUnknownKeyRefusedBeforeBody(t *testing.T) {
	Convey("A request with an unknown key is refused before its body has arrived", t, func() {
		server, _ := startServer(t, &stubBackend{}, testOptions())
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { _ = conn.Close() })
		_, err = fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer bad-key\r\n"+
			"Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n{")
		So(err, ShouldBeNil)
		// The rest of the body is never sent. The response must arrive well before
		// the body timeout of 10 s.
		So(conn.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		Reset(func() { _ = response.Body.Close() })
		So(response.StatusCode, ShouldEqual, http.StatusUnauthorized)
	})
}
