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

// rawServer serves each request of each connection by answer, which returns
// false to cut the connection. It counts requests read.
func rawServer(t *testing.T, answer func(conn net.Conn, path string, n int64) bool) (string, *atomic.Int64) {
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
					if !answer(conn, req.URL.Path, requests.Add(1)) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), &requests
}

const okLoad = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"boot\":7}"

func TestBrokenConnection(t *testing.T) {
	Convey("A request whose reused connection breaks after it was sent runs once", t, func() {
		addr, requests := rawServer(t, func(conn net.Conn, path string, _ int64) bool {
			if path != PathLoad {
				return false
			}
			_, _ = io.WriteString(conn, okLoad)
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
	Convey("A GET and a DELETE on a reused connection are not repeated either", t, func() {
		addr, requests := rawServer(t, func(conn net.Conn, _ string, n int64) bool {
			if n != 1 {
				return false
			}
			_, _ = io.WriteString(conn, okLoad)
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
	Convey("A refused connection and an ended context are not sent", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := listener.Addr().String()
		_ = listener.Close()
		_, err = NewHTTP(addr, testTimeouts).Generate(t.Context(), Request{ID: "r"})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)

		addr, requests := rawServer(t, func(net.Conn, string, int64) bool { return false })
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = NewHTTP(addr, testTimeouts).Generate(ended, Request{ID: "r"})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		So(requests.Load(), ShouldEqual, 0)
	})
}

func TestStreamErrors(t *testing.T) {
	stream := func(lines string, hold bool) (Stream, error) {
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		addr, _ := rawServer(t, func(conn net.Conn, _ string, _ int64) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+lines)
			if hold {
				<-release
			}
			return false
		})
		return NewHTTP(addr, testTimeouts).Generate(t.Context(), Request{ID: "r"})
	}
	Convey("A silent, cut, crossed or malformed stream is broken, never ended", t, func() {
		for _, c := range []struct {
			lines string
			hold  bool
		}{
			{"{\"seq\":1,\"text\":\"a\"}\n", true},
			{"{\"seq\":1,\"text\":\"a\"}\n", false},
			{"{\"seq\":1,\"text\":\"a\"}\n{\"seq\":3,\"finish_reason\":\"stop\"}\n", false},
			{"{\"seq\":1,\"text\":\"a\"}\n{\"seq\":2,\"finish", false},
		} {
			s, err := stream(c.lines, c.hold)
			So(err, ShouldBeNil)
			chunk, err := s.Recv()
			So(err, ShouldBeNil)
			So(chunk.Text, ShouldEqual, "a")
			_, err = s.Recv()
			So(errors.Is(err, ErrConnectionLost), ShouldBeTrue)
			_ = s.Close()
		}
	})
	Convey("Error statuses map to the package's errors; an unknown one proves nothing", t, func() {
		for body, want := range map[string]error{
			`{"code":"rejected"}`:  ErrRejected,
			`{"code":"duplicate"}`: ErrConnectionLost,
			`no json`:              ErrConnectionLost,
		} {
			addr, _ := rawServer(t, func(conn net.Conn, _ string, _ int64) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 422 X\r\nConnection: close\r\n\r\n"+body)
				return false
			})
			_, err := NewHTTP(addr, testTimeouts).Generate(t.Context(), Request{ID: "r"})
			So(errors.Is(err, want), ShouldBeTrue)
		}
	})
}
