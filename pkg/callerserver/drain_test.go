package callerserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/callerserver"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// patience is the longest time that a test waits for the server.
const patience = 15 * time.Second

const wholeRequest = "POST / HTTP/1.1\r\nHost: h\r\nId: request-1\r\nContent-Length: 0\r\n\r\n"

// newServer returns a server with the given handler.
func newServer(handler http.HandlerFunc, log *eventlog.Logger) *callerserver.Server {
	return newLimitedServer(handler, log, fleet.ClientLimits{})
}

func newLimitedServer(handler http.HandlerFunc, log *eventlog.Logger, limits fleet.ClientLimits) *callerserver.Server {
	return callerserver.New(callerserver.Config{
		Handler: handler, Log: log,
		RequestID:    func(header http.Header) string { return header.Get("Id") },
		SetRequestID: func(header http.Header, id string) { header.Set("Id", id) },
		Limits:       func() fleet.ClientLimits { return limits },
	})
}

func respondOK(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func dial(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	Reset(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func readStatus(conn net.Conn) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, err
}

// drain starts a drain and returns a channel for the number of cut requests.
func drain(server *callerserver.Server, limit time.Duration) <-chan int64 {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	result := make(chan int64, 1)
	go func() {
		defer cancel()
		result <- server.Drain(ctx, time.Now().Add(limit))
	}()
	return result
}

// TestDrainAcceptsQueuedConnections guards against a connection that is reset with
// its request while it waits to be accepted.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	Convey("A drain answers the requests on connections that wait to be accepted", t, func() {
		const queued = 20
		server := newServer(respondOK, eventlog.Discard())
		listener := listen(t)
		conns := make([]net.Conn, queued)
		for i := range conns {
			conns[i] = dial(t, listener)
			write(t, conns[i], wholeRequest)
		}
		cut := drain(server, patience)
		go func() { _ = server.Serve(listener) }()
		for _, conn := range conns {
			status, err := readStatus(conn)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
		}
		So(<-cut, ShouldEqual, 0)
	})
}

// TestDrainClosesConnections guards against a caller that keeps a connection which a
// drain is about to close, and against a drain that waits for unused connections.
func TestDrainClosesConnections(t *testing.T) {
	Convey("A response during a drain tells the caller that the connection closes", t, func() {
		begun, finish := make(chan struct{}), make(chan struct{})
		server := newServer(func(w http.ResponseWriter, _ *http.Request) {
			close(begun)
			<-finish
			w.WriteHeader(http.StatusOK)
		}, eventlog.Discard())
		listener := listen(t)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conn := dial(t, listener)
		write(t, conn, wholeRequest)
		<-begun
		cut := drain(server, patience)
		<-served
		close(finish)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(resp.Close, ShouldBeTrue)
		So(<-cut, ShouldEqual, 0)
	})
	Convey("A drain closes connections without a request", t, func() {
		server := newServer(respondOK, eventlog.Discard())
		listener := listen(t)
		go func() { _ = server.Serve(listener) }()
		unused, kept := dial(t, listener), dial(t, listener)
		write(t, kept, wholeRequest)
		status, err := readStatus(kept)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(<-drain(server, patience), ShouldEqual, 0)
		for _, conn := range []net.Conn{unused, kept} {
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
		}
	})
}
