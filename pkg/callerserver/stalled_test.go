package callerserver_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/membudget"
)

// TestStalledBodies guards against bodies that stop and keep the memory of all other
// callers, and against slow ones that are given up, or any without need.
func TestStalledBodies(t *testing.T) {
	const (
		stallTime   = 2300 * time.Millisecond
		header      = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
		budgetBytes = 1 << 20
	)
	Convey("Given a stalled body and a slow one", t, func() {
		memory := membudget.New(budgetBytes)
		listener := serveLimited(t, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(patience))
			if _, err := io.Copy(io.Discard, r.Body); errors.Is(err, os.ErrDeadlineExceeded) {
				w.WriteHeader(http.StatusRequestTimeout)
			}
		}, memory)
		stalled, slow := dialFrom(t, listener, "127.0.0.1"), dialFrom(t, listener, "127.0.0.1")
		for _, conn := range []net.Conn{stalled, slow} {
			write(t, conn, header+"half")
		}
		time.Sleep(stallTime)
		write(t, slow, "more")
		noAnswer := func(conn net.Conn) {
			_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, err := conn.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
		}
		Convey("both go on while there is memory", func() {
			So(ask(t, listener, "127.0.0.1"), ShouldEqual, http.StatusOK)
			noAnswer(stalled)
			noAnswer(slow)
		})
		Convey("the stalled one is refused once memory is refused to another caller", func() {
			for claim := memory.NewClaim(); claim.Grow(4 << 10); {
				claim = memory.NewClaim()
			}
			status, err := readStatus(stalled)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusRequestTimeout)
			noAnswer(slow)
		})
	})
}
