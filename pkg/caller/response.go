package caller

import (
	"net/http"
	"time"
)

// response bounds the time of each write, and asks callers of a leaving process
// to send their next request over another connection.
type response struct {
	http.ResponseWriter
	control *http.ResponseController
	options *Options
	started bool
}

// bounding puts a response around every request's writer.
func bounding(options *Options) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(&response{
				ResponseWriter: w, control: http.NewResponseController(w), options: options,
			}, r)
		})
	}
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if !r.started && r.options.Draining != nil && r.options.Draining() {
		r.Header().Set("Connection", "close")
	}
	r.started = true
	r.arm()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(data []byte) (int, error) {
	if !r.started {
		r.WriteHeader(http.StatusOK)
	}
	r.arm()
	return r.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController the server's own writer.
func (r *response) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}

func (r *response) arm() {
	// A writer without deadlines is a test's recorder.
	_ = r.control.SetWriteDeadline(time.Now().Add(r.options.WriteTimeout))
}
