package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
)

var testTimeouts = Timeouts{Dial: time.Second, Idle: 300 * time.Millisecond, Call: time.Second}

// startRawServer starts a TCP server that passes each HTTP request to respond, where
// n is the number of requests read so far, including this one. If respond returns
// false, the server closes the connection. startRawServer returns the server's address
// and its request counter.
func startRawServer(t *testing.T, respond func(conn net.Conn, path string, n int64) bool) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !respond(conn, req.URL.Path, requests.Add(1)) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), &requests
}

const loadResponse = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"boot\":7}"

func TestBrokenConnection(t *testing.T) {
	Convey("A request is not sent twice when its reused connection is closed after sending", t, func() {
		addr, requests := startRawServer(t, func(conn net.Conn, path string, _ int64) bool {
			if path != PathLoad {
				return false
			}
			_, _ = io.WriteString(conn, loadResponse)
			return true
		})
		h := NewHTTP(addr, testTimeouts)
		_, err := h.LoadReport(t.Context())
		So(err, ShouldBeNil)
		_, err = h.Generate(t.Context(), Request{ID: "r", Prompt: "p"})
		So(errors.Is(err, ErrConnectionLost), ShouldBeTrue)
		So(errors.Is(err, ErrNotSent), ShouldBeFalse)
		So(requests.Load(), ShouldEqual, 2)
	})
	Convey("GET and DELETE requests on a reused connection are not retried", t, func() {
		addr, requests := startRawServer(t, func(conn net.Conn, _ string, n int64) bool {
			if n != 1 {
				return false
			}
			_, _ = io.WriteString(conn, loadResponse)
			return true
		})
		h := NewHTTP(addr, testTimeouts)
		_, err := h.LoadReport(t.Context())
		So(err, ShouldBeNil)
		_, err = h.LoadReport(t.Context())
		So(errors.Is(err, ErrConnectionLost), ShouldBeTrue)
		So(errors.Is(h.Cancel(t.Context(), "r"), ErrConnectionLost), ShouldBeTrue)
		So(requests.Load(), ShouldEqual, 3)
	})
	Convey("ErrNotSent is returned for a refused connection and for a cancelled context", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := listener.Addr().String()
		_ = listener.Close()
		_, err = NewHTTP(addr, testTimeouts).Generate(t.Context(), Request{ID: "r"})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)

		addr, requests := startRawServer(t, func(net.Conn, string, int64) bool { return false })
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = NewHTTP(addr, testTimeouts).Generate(cancelled, Request{ID: "r"})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		So(requests.Load(), ShouldEqual, 0)
	})
}

func TestStreamErrors(t *testing.T) {
	openStream := func(lines string, keepOpen bool) (Stream, error) {
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		addr, _ := startRawServer(t, func(conn net.Conn, _ string, _ int64) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+lines)
			if keepOpen {
				<-release
			}
			return false
		})
		return NewHTTP(addr, testTimeouts).Generate(t.Context(), Request{ID: "r"})
	}
	Convey("A stream that is idle, truncated, out of sequence or malformed fails and does not return io.EOF", t, func() {
		for _, c := range []struct {
			lines    string
			keepOpen bool
		}{
			{"{\"seq\":1,\"text\":\"a\"}\n", true},
			{"{\"seq\":1,\"text\":\"a\"}\n", false},
			{"{\"seq\":1,\"text\":\"a\"}\n{\"seq\":3,\"finish_reason\":\"stop\"}\n", false},
			{"{\"seq\":1,\"text\":\"a\"}\n{\"seq\":2,\"finish", false},
		} {
			s, err := openStream(c.lines, c.keepOpen)
			So(err, ShouldBeNil)
			chunk, err := s.Recv()
			So(err, ShouldBeNil)
			So(chunk.Text, ShouldEqual, "a")
			_, err = s.Recv()
			So(errors.Is(err, ErrConnectionLost), ShouldBeTrue)
			_ = s.Close()
		}
	})
	Convey("Error responses map to the package's errors, and those that do not show whether the request ran map to ErrConnectionLost", t, func() {
		for body, want := range map[string]error{
			`{"code":"rejected"}`:  ErrRejected,
			`{"code":"duplicate"}`: ErrConnectionLost,
			`not JSON`:             ErrConnectionLost,
		} {
			addr, _ := startRawServer(t, func(conn net.Conn, _ string, _ int64) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 422 X\r\nConnection: close\r\n\r\n"+body)
				return false
			})
			_, err := NewHTTP(addr, testTimeouts).Generate(t.Context(), Request{ID: "r"})
			So(errors.Is(err, want), ShouldBeTrue)
		}
	})
}
