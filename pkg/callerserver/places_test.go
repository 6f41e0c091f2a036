package callerserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/callerserver"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/membudget"
)

// testMaxConns is the largest number of connections in the tests.
const testMaxConns = 8

// serveLimited serves with a limit on connections, and returns the listener.
func serveLimited(t *testing.T, handler http.HandlerFunc, memory *membudget.Budget) net.Listener {
	server := callerserver.New(callerserver.Config{
		Handler: handler, Log: eventlog.Discard(), MaxConns: testMaxConns, Memory: memory, WriteTimeout: 200 * time.Millisecond,
		RequestID:    func(header http.Header) string { return header.Get("Id") },
		SetRequestID: func(header http.Header, id string) { header.Set("Id", id) },
		Limits:       func() fleet.ClientLimits { return fleet.ClientLimits{HeaderBytes: 1 << 20} },
	})
	listener := listen(t)
	go func() { _ = server.Serve(listener) }()
	Reset(func() { _ = server.Close() })
	return listener
}

// dialFrom connects from a loopback address.
func dialFrom(t *testing.T, listener net.Listener, ip string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	conn, err := dialer.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	Reset(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return conn
}

// ask sends a request on a new connection and returns the status of its response.
func ask(t *testing.T, listener net.Listener, ip string) int {
	t.Helper()
	conn := dialFrom(t, listener, ip)
	write(t, conn, wholeRequest)
	status, _ := readStatus(conn)
	return status
}

// TestPlaces guards against a crowd that takes all connections, and against connections
// with requests that are closed for others.
func TestPlaces(t *testing.T) {
	const crowd, other = "127.0.0.1", "127.0.0.2"
	// settle is the time after which a connection without a request may be evicted.
	const settle = 1100 * time.Millisecond
	Convey("Given a server whose connections are all taken", t, func() {
		Convey("by callers that send nothing, new callers of any address are served after a second", func() {
			listener := serveLimited(t, respondOK, nil)
			for range testMaxConns {
				dialFrom(t, listener, crowd)
			}
			time.Sleep(settle)
			So(ask(t, listener, crowd), ShouldEqual, http.StatusOK)
			So(ask(t, listener, other), ShouldEqual, http.StatusOK)
		})
		Convey("by callers that send half a header, one of them is told that its request has not run", func() {
			listener := serveLimited(t, respondOK, nil)
			half := dialFrom(t, listener, crowd)
			write(t, half, wholeRequest[:20])
			time.Sleep(10 * time.Millisecond)
			for range testMaxConns - 1 {
				write(t, dialFrom(t, listener, crowd), wholeRequest[:20])
			}
			time.Sleep(settle)
			So(ask(t, listener, other), ShouldEqual, http.StatusOK)
			status, err := readStatus(half)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("by requests in progress, a new caller is refused and the requests are answered", func() {
			finish := make(chan struct{})
			listener := serveLimited(t, func(w http.ResponseWriter, _ *http.Request) { <-finish; w.WriteHeader(http.StatusOK) }, nil)
			conns := make([]net.Conn, testMaxConns)
			for i := range conns {
				conns[i] = dialFrom(t, listener, crowd)
				write(t, conns[i], wholeRequest)
			}
			time.Sleep(settle)
			status, err := readStatus(dialFrom(t, listener, other))
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			close(finish)
			for _, conn := range conns {
				status, err := readStatus(conn)
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
			}
		})
		Convey("an address with many connections takes no place of one with few", func() {
			listener := serveLimited(t, respondOK, nil)
			kept := dialFrom(t, listener, other)
			for range testMaxConns - 1 {
				dialFrom(t, listener, crowd)
			}
			time.Sleep(settle)
			for range testMaxConns {
				dialFrom(t, listener, crowd)
			}
			time.Sleep(settle)
			write(t, kept, wholeRequest)
			status, err := readStatus(kept)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
		})
	})
}

// TestMemoryOfHeads guards against heads that take more memory than the budget has, and
// against memory that is not returned.
func TestMemoryOfHeads(t *testing.T) {
	Convey("Given a budget", t, func() {
		const budgetBytes = 1 << 20
		memory := membudget.New(budgetBytes)
		listener := serveLimited(t, respondOK, memory)
		Convey("a head of many short fields beyond it is refused while it arrives, and others are served", func() {
			conn := dialFrom(t, listener, "127.0.0.1")
			write(t, conn, wholeRequest[:len(wholeRequest)-2])
			// Fewer bytes than a head may have, but more fields than the budget allows.
			for range 4000 {
				if _, err := io.WriteString(conn, "f:\r\n"); err != nil {
					break
				}
			}
			status, err := readStatus(conn)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(ask(t, listener, "127.0.0.1"), ShouldEqual, http.StatusOK)
			_ = conn.Close()
		})
		Convey("a request without memory for its handling is refused", func() {
			conn := dialFrom(t, listener, "127.0.0.1")
			write(t, conn, wholeRequest)
			status, err := readStatus(conn)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			// What is left is enough for the head, not for the handling.
			others := make([]*membudget.Claim, 0)
			for memory.Used() < budgetBytes-20<<10 {
				others = append(others, memory.NewClaim())
				So(others[len(others)-1].Grow(4<<10), ShouldBeTrue)
			}
			write(t, conn, wholeRequest)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.Header.Get("Retry-After"), ShouldEqual, "1.000")
			So(resp.Header.Get("Id"), ShouldEqual, "request-1")
			for _, claim := range others {
				claim.Release()
			}
		})
		Convey("all memory is returned once the connections are closed", func() {
			for range 3 {
				conn := dialFrom(t, listener, "127.0.0.1")
				write(t, conn, wholeRequest)
				_, _ = readStatus(conn)
				_ = conn.Close()
			}
			deadline := time.Now().Add(patience)
			for memory.Used() > 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			So(memory.Used(), ShouldEqual, 0)
		})
	})
}

// TestUnreadRefusals guards against a handler that waits without end for a caller that
// sends requests and reads no answers, although it has set no deadline.
func TestUnreadRefusals(t *testing.T) {
	Convey("A caller that reads no answers is cut off", t, func() {
		ended := make(chan struct{})
		large := make([]byte, 64<<20)
		listener := serveLimited(t, func(w http.ResponseWriter, _ *http.Request) {
			defer close(ended)
			_, _ = w.Write(large)
		}, nil)
		conn := dialFrom(t, listener, "127.0.0.1")
		write(t, conn, wholeRequest)
		select {
		case <-ended:
		case <-time.After(patience):
			t.Error("the handler still writes")
		}
	})
}
