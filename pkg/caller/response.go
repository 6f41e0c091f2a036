package caller

import (
	"net/http"
	"time"
)

// responseWriter sets a deadline for each write. While the process is stopping, it
// adds "Connection: close" to responses, so that callers send their next request
// over another connection.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	options    *Options
	started    bool
}

// withWriteDeadlines is a middleware that wraps response writers in a
// responseWriter.
func withWriteDeadlines(options *Options) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(&responseWriter{
				ResponseWriter: w, controller: http.NewResponseController(w), options: options,
			}, r)
		})
	}
}

// WriteHeader implements http.ResponseWriter.
func (r *responseWriter) WriteHeader(status int) {
	if !r.started && r.options.Draining != nil && r.options.Draining() {
		r.Header().Set("Connection", "close")
	}
	r.started = true
	r.setWriteDeadline()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseWriter) Write(data []byte) (int, error) {
	if !r.started {
		r.WriteHeader(http.StatusOK)
	}
	r.setWriteDeadline()
	return r.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (r *responseWriter) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}

func (r *responseWriter) setWriteDeadline() {
	// The error is ignored: a write deadline is unsupported only by the response
	// recorders that tests use.
	_ = r.controller.SetWriteDeadline(time.Now().Add(r.options.WriteTimeout))
}
