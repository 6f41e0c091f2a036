package callerserver

import (
	"cmp"
	"time"
)

// Limits that apply if the configuration sets none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderBytes   = 64 << 10
)

const (
	// headerTimeoutMargin extends the header timeout, since a header that its
	// caller sends in time may be delayed on the network.
	headerTimeoutMargin = time.Second
	// readAheadBytes is the number of bytes that the HTTP server may read past the
	// end of a header.
	readAheadBytes = 4 << 10
)

// headerTimeout returns the time in force for a header from its first byte on.
func (s *Server) headerTimeout() time.Duration {
	return cmp.Or(s.config.Limits().HeaderTimeout, defaultHeaderTimeout) + headerTimeoutMargin
}

// idleTimeout returns the time in force for a connection without a request.
func (s *Server) idleTimeout() time.Duration {
	return cmp.Or(s.config.Limits().IdleTimeout, defaultIdleTimeout)
}

// headerBytes returns the number of bytes in force that may be read for a header.
func (s *Server) headerBytes() int {
	return cmp.Or(s.config.Limits().HeaderBytes, defaultHeaderBytes) + readAheadBytes
}
