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
// incomplete.
func (s *Server) recoverPanic(w *responseWriter, requestID string) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	stack := debug.Stack()
	status := http.StatusBadGateway
	if w.wroteHeader {
		status = 0
	}
	s.config.Log.Log(eventlog.HandlerPanicked, "request_id", requestID, "status", status,
		"err", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if w.wroteHeader {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	clear(header)
	s.config.SetRequestID(header, requestID)
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	w.WriteHeader(status)
}
