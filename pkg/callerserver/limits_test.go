package callerserver_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TestConfiguredHeaderBytes guards against a request that is refused because its
// header exceeds another limit than the configured one.
func TestConfiguredHeaderBytes(t *testing.T) {
	const size = 100 << 10
	request := strings.Replace(wholeRequest, "Id:", "Filler: "+strings.Repeat("x", size)+"\r\nId:", 1)
	send := func(limit int) (int, error) {
		server := newLimitedServer(respondOK, eventlog.Discard(), fleet.ClientLimits{HeaderBytes: limit})
		listener := listen(t)
		go func() { _ = server.Serve(listener) }()
		Reset(func() { _ = listener.Close() })
		conn := dial(t, listener)
		write(t, conn, request)
		return readStatus(conn)
	}
	Convey("A header within the configured limit is accepted", t, func() {
		status, err := send(2 * size)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
	Convey("A header beyond the configured limit is refused", t, func() {
		status, err := send(size / 2)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
}
