package callerserver_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/callerserver"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/membudget"
)

// FuzzCallerBytes guards against bytes of callers (heads, chunking, pipelined requests) that
// make the server panic, hang, or keep memory or connections. The bytes come in two
// pieces.
func FuzzCallerBytes(f *testing.F) {
	for _, text := range []string{
		wholeRequest,
		wholeRequest + wholeRequest + "GET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;e=f\r\nhello\r\n0\r\nT: t\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nContent-Length: 11\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n",
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"f:\r\nf:\r\n,,,\n\n\x00",
	} {
		f.Add([]byte(text), 10)
	}
	memory := membudget.New(1 << 20)
	server := callerserver.New(callerserver.Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(fuzzTimeout))
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1<<10))
		}),
		Log: eventlog.Discard(), MaxConns: 100, Memory: memory, WriteTimeout: fuzzTimeout,
		RequestID:    func(header http.Header) string { return header.Get("Id") },
		SetRequestID: func(header http.Header, id string) { header.Set("Id", id) },
		Limits: func() fleet.ClientLimits {
			return fleet.ClientLimits{HeaderBytes: 16 << 10, HeaderTimeout: fuzzTimeout, IdleTimeout: fuzzTimeout}
		},
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		sendAndClose(t, listener, data, split)
		for deadline := time.Now().Add(patience); memory.Used() > 0; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes of memory are not returned", memory.Used())
			}
		}
	})
}

// fuzzTimeout is the time limit of the server for each part of a request.
const fuzzTimeout = 50 * time.Millisecond

// sendAndClose sends bytes in two pieces, ends its side of the connection, and requires
// that the server closes it.
func sendAndClose(t *testing.T, listener net.Listener, data []byte, split int) {
	t.Helper()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	split = min(max(split, 0), len(data))
	// Writes fail if the server has closed the connection.
	_, _ = conn.Write(data[:split])
	_, _ = conn.Write(data[split:])
	_ = conn.(*net.TCPConn).CloseWrite()
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the server has not closed the connection")
	}
}
