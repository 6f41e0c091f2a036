// Package targetconn sends HTTP/1.1 requests to targets over pooled persistent
// connections. It reports whether any byte of a failed request may have been sent,
// never sends a request twice, and never reuses a connection that holds bytes of
// an earlier answer.
package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/sockstate"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// maxInlineBodyBytes is the maximum size of a body that is written before the answer
// is read. Larger bodies are written while the answer is read.
const maxInlineBodyBytes = 8 << 10

// Request is a request with its full body.
type Request struct {
	Method string
	// URI is the path and query, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	pool   *pool
	socket net.Conn
	reader *bufio.Reader
	// idleTimeout is the time after which the target closes the idle connection.
	idleTimeout time.Duration
	idleSince   time.Time
	// writing is set while a body is still being written.
	writing atomic.Bool
}

// Exchange is an answer whose header has arrived.
type Exchange struct {
	Response  *http.Response
	conn      *Conn
	detachCtx func() bool
}

// Send writes a request and reads the answer's header. On an error, sent reports
// whether any byte of the request may have been sent. The connection is closed when
// ctx is cancelled before the exchange ends.
func (c *Conn) Send(ctx context.Context, req *Request) (exchange *Exchange, sent bool, err error) {
	detachCtx := context.AfterFunc(ctx, c.closeSocket)
	sent, err = c.write(req)
	if err != nil {
		detachCtx()
		c.Close()
		return nil, sent, errors.Annotate(err, "writing a request")
	}
	resp, err := c.readHeader(req) //nolint:bodyclose // the exchange hands the body on; closing the connection ends it
	if err != nil {
		detachCtx()
		c.Close()
		return nil, true, errors.Annotate(err, "reading an answer")
	}
	return &Exchange{Response: resp, conn: c, detachCtx: detachCtx}, true, nil
}

func (c *Conn) write(req *Request) (sent bool, err error) {
	var header bytes.Buffer
	header.Grow(1024)
	header.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&header); err != nil {
		return false, errors.Trace(err)
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		header.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	header.WriteString("\r\n")
	if len(req.Body) <= maxInlineBodyBytes {
		header.Write(req.Body)
		n, err := c.socket.Write(header.Bytes())
		return n > 0 || err == nil, errors.Trace(err)
	}
	n, err := c.socket.Write(header.Bytes())
	if err != nil {
		return n > 0, errors.Trace(err)
	}
	c.writing.Store(true)
	go func() {
		// A failed write also causes reading the answer to fail. If the answer
		// ends before the body is written, writing is still set and Finish closes
		// the connection.
		if _, err := c.socket.Write(req.Body); err == nil {
			c.writing.Store(false)
		}
	}()
	return true, nil
}

// readHeader reads the header of the final answer and skips informational ones.
func (c *Conn) readHeader(req *Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// SetIdleTimeout sets the time after which the target closes an idle connection. It
// ignores a timeout of 0 or less.
func (e *Exchange) SetIdleTimeout(timeout time.Duration) {
	if timeout > 0 {
		e.conn.idleTimeout = timeout
	}
}

// Finish ends the exchange; complete reports that the answer was read to its end.
// The connection is returned to the pool if the answer is complete and no bytes
// are left on it; otherwise it is closed.
func (e *Exchange) Finish(complete bool) {
	ctxDone := !e.detachCtx()
	c := e.conn
	if !complete || ctxDone || e.Response.Close || c.writing.Load() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.pool.putIdle(c)
}

// Close closes the connection and releases its place in the pool.
func (c *Conn) Close() {
	c.closeSocket()
	c.pool.release()
}

// closeSocket closes the socket. It ignores errors, as there is no way to handle a
// socket that is already closed or fails to close.
func (c *Conn) closeSocket() {
	_ = c.socket.Close()
}

// usable reports whether an idle connection is open, has received no bytes and is
// not close to the target's idle timeout.
func (c *Conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleTimeout-idleTimeoutMargin(c.idleTimeout) {
		return false
	}
	state := sockstate.Of(c.socket)
	return state == sockstate.Idle || state == sockstate.Unknown
}

// idleTimeoutMargin returns the part of a target's idle timeout that is not used, so
// that the target does not close the connection while a request is being sent.
func idleTimeoutMargin(timeout time.Duration) time.Duration {
	const divisor = 4
	return timeout / divisor
}

// ReadAll reads the rest of an answer's body. It fails if that is longer than limit
// bytes.
func (e *Exchange) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(e.Response.Body, limit+1))
	if err != nil {
		return nil, errors.Annotate(err, "reading an answer's body")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer of more than %d bytes", limit)
	}
	return body, nil
}
