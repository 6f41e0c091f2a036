package callerserver

import "net/http"

// responseWriter is the http.ResponseWriter of a request. A response whose header
// is written during a drain tells the caller that the connection closes after it.
type responseWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
	// endsWithConn is set if the caller's HTTP version has no other end of a response without a
	// length.
	endsWithConn bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.server.drainTimes().startedAt.IsZero() {
		w.Header().Set("Connection", "close")
	}
	// An informational response precedes the final header.
	w.wroteHeader = w.wroteHeader || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
