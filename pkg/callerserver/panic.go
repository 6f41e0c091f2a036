package callerserver

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// recoverPanic responds to a request whose handler panicked. It must be deferred. A
// request may have run by then, so the response promises nothing. Where the response
// has begun, the connection is closed, so that its caller detects that it is
// incomplete; where such a response ends with its connection, that is reset.
func (s *Server) recoverPanic(c *conn, w *responseWriter, requestID string) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		s.breakOff(c, w, requestID)
	}
	stack := debug.Stack()
	status := http.StatusBadGateway
	if w.wroteHeader {
		status = 0
	}
	s.config.Log.Log(eventlog.HandlerPanicked, "request_id", requestID, "status", status,
		"err", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if w.wroteHeader {
		s.breakOff(c, w, requestID)
	}
	header := w.Header()
	clear(header)
	s.config.SetRequestID(header, requestID)
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// breakOff closes the connection of a response that is incomplete. It panics.
func (s *Server) breakOff(c *conn, w *responseWriter, requestID string) {
	if w.wroteHeader && w.endsWithConn {
		if err := c.SetLinger(0); err != nil {
			s.config.Log.Log(eventlog.ConnNotReset, "request_id", requestID, "err", err)
		}
	}
	panic(http.ErrAbortHandler)
}
