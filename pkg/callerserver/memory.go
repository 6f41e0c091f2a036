package callerserver

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// Estimates of the memory that callers take, in bytes. They are meant to be higher than
// what was measured: a header of 32 KiB made of 4,600 fields took about 0.5 MB while it
// was handled, where these give 1 MB.
const (
	// ConnMemory covers the buffers of a connection and the stack of its goroutine.
	ConnMemory = 16 << 10
	// requestMemory covers the goroutines that handle a request and its connection to a
	// target.
	requestMemory = 32 << 10
	// headByteMemory is the memory for each byte of a header, which is held as text read,
	// as field values, and as text sent to a target.
	headByteMemory = 4
	// headLineMemory is the memory for each field: its places in the header maps received
	// and sent, and their growth.
	headLineMemory = 200
	// headCommaMemory is the memory for each item of a list, such as a part of a prompt.
	headCommaMemory = 100
	// encryptedHeadByteMemory applies where the lines of a header can't be counted.
	encryptedHeadByteMemory = 16
)

// memoryRetryAfter is the Retry-After value of requests for which there is no memory.
const memoryRetryAfter = time.Second

// headRefusal is a refusal of a request because of its header.
type headRefusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

var (
	headTooLarge      = &headRefusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "too_large"}
	headTimeout       = &headRefusal{status: http.StatusRequestTimeout, reason: "timeout"}
	headWithoutMemory = &headRefusal{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: memoryRetryAfter}
	headEvicted       = &headRefusal{status: http.StatusServiceUnavailable, reason: "evicted", retryAfter: memoryRetryAfter}
)

// response returns the text of a refusal after which the connection is closed.
func (r *headRefusal) response() string {
	text := "HTTP/1.1 " + strconv.Itoa(r.status) + " " + http.StatusText(r.status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if r.retryAfter > 0 {
		text += "Retry-After: " + r.retryAfterText() + "\r\n"
	}
	return text + "\r\n"
}

func (r *headRefusal) retryAfterText() string {
	return strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)
}

// headMemory returns the memory that a part of a header will take.
func (c *conn) headMemory(p []byte) int64 {
	if c.isEncrypted() {
		return int64(len(p) * encryptedHeadByteMemory)
	}
	return int64(len(p)*headByteMemory + bytes.Count(p, []byte("\n"))*headLineMemory + bytes.Count(p, []byte(","))*headCommaMemory)
}

// claimRequest claims the memory of the handling of a request, and reports whether the
// budget allows it.
func (c *conn) claimRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request.Raise(requestMemory)
}

// releaseRequest returns the memory of a request that has been handled. The caller must
// hold c.mu.
func (c *conn) releaseRequest() {
	c.head.Release()
	c.request.Release()
}

// refuseRequest responds to a request that can't be handled for lack of memory.
func (c *conn) refuseRequest(w http.ResponseWriter, requestID string) {
	c.logRefusal(headWithoutMemory)
	header := w.Header()
	c.server.config.SetRequestID(header, requestID)
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	header.Set("Retry-After", headWithoutMemory.retryAfterText())
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTimeout))
	w.WriteHeader(headWithoutMemory.status)
}

func (c *conn) logRefusal(refusal *headRefusal) {
	s := c.server
	s.meters.countRefusal(refusal.reason)
	c.mu.Lock()
	age, size := time.Since(c.since), c.headerBytes
	c.mu.Unlock()
	s.config.Log.Log(eventlog.CallerHeaderRefused, "server", s.config.Name, "remote", c.RemoteAddr().String(), "status", refusal.status,
		"reason", refusal.reason, "header_ms", age.Milliseconds(), "header_bytes", size, "memory_used", s.config.Memory.Used())
}
