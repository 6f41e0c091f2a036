// Package targetconn sends HTTP/1.1 requests to targets over pooled persistent
// connections. It reports whether any byte of a failed request may have been sent,
// never sends a request twice, and never reuses a connection that holds bytes of
// an earlier response.
package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/membudget"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// maxInlineBodyBytes is the maximum size of a body that is written before the
// response is read. Larger bodies are written while the response is read.
const maxInlineBodyBytes = 8 << 10

const (
	// maxDrainBytes and drainTimeout bound the rest of a response that is read only
	// to keep the connection.
	maxDrainBytes = 16 << 10
	drainTimeout  = 50 * time.Millisecond
)

// Request is a request with its full body.
type Request struct {
	Method string
	// URI is the path and query, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HeadMemory is what the head of the response takes; nil if nobody counts it.
	HeadMemory strictresponse.Memory
}

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	pool   *pool
	socket net.Conn
	// reader buffers responses, which checks the heads that are read from socket.
	reader    *bufio.Reader
	responses *strictresponse.Conn
	// run is what is known of the run of the target that the connection leads to.
	run runKnowledge
	// carried holds the IDs of the latest requests on the connection.
	carried carriedIDs
	// idleTimeout is the time after which the target closes the idle connection.
	idleTimeout time.Duration
	idleSince   time.Time
	// upload is the write of a large body beside its response; nil for a request without one.
	upload *strictresponse.Upload
}

// Exchange is a request in progress whose response header has arrived.
type Exchange struct {
	Response *http.Response
	conn     *Conn
	// stopCancelWatch unregisters the function that closes the connection on
	// cancellation of the context. It returns false if the context has already
	// been cancelled.
	stopCancelWatch func() bool
}

// IsKept reports whether the connection was idle before its request: it has carried another one, or was
// opened earlier.
func (c *Conn) IsKept() bool { return !c.idleSince.IsZero() }

// runKnowledge is what is known of the run of a target that a connection leads to. It holds for good,
// since a connection ends with its run.
type runKnowledge int

const (
	// runUnasked means that the target has not been asked over the connection for its run.
	runUnasked runKnowledge = iota
	// runUntold means that its answer did not tell.
	runUntold
	// runMatches means that it is the run that the connection was opened for.
	runMatches
)

// RunAsked reports whether the target has been asked over the connection for its run.
func (c *Conn) RunAsked() bool { return c.run != runUnasked }

// LeadsToRun reports whether the connection is known to lead to the run of the target that it was
// opened for.
func (c *Conn) LeadsToRun() bool { return c.run == runMatches }

// SetRun records that the target has been asked for its run, and whether that is the one that the
// connection was opened for.
func (c *Conn) SetRun(matches bool) {
	c.run = runUntold
	if matches {
		c.run = runMatches
	}
}

// Ask sends a request and reads its response of at most limit bytes. The connection remains the
// caller's; on an error it is closed.
func (c *Conn) Ask(ctx context.Context, req *Request, limit int64) (status int, body []byte, err error) {
	exchange, _, err := c.Send(ctx, req)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	resp := exchange.Response
	body, err = io.ReadAll(io.LimitReader(resp.Body, limit+1))
	isCancelled := !exchange.stopCancelWatch()
	switch {
	case err != nil:
	case int64(len(body)) > limit:
		err = membudget.ErrTooLarge
	case isCancelled || resp.Close || c.reader.Buffered() > 0:
		err = net.ErrClosed
	}
	if err != nil {
		c.Close()
		return 0, nil, errors.Annotate(err, "reading a short response")
	}
	return resp.StatusCode, body, nil
}

// Send writes a request and reads the response header. On an error, sent reports
// whether any byte of the request may have been sent. The connection is closed if
// ctx is cancelled before the exchange ends.
func (c *Conn) Send(ctx context.Context, req *Request) (exchange *Exchange, sent bool, err error) {
	stopCancelWatch := context.AfterFunc(ctx, c.closeSocket)
	sent, err = c.write(req)
	if err != nil {
		stopCancelWatch()
		c.Close()
		return nil, sent, errors.Annotate(err, "writing a request")
	}
	resp, err := c.responses.ReadResponse(c.reader, strictresponse.Request{Method: req.Method, Upload: c.upload, Memory: req.HeadMemory}) //nolint:bodyclose // the body is returned in the Exchange, whose Finish closes or reuses the connection
	if err != nil {
		stopCancelWatch()
		c.Close()
		return nil, true, errors.Annotate(err, "reading a response")
	}
	return &Exchange{Response: resp, conn: c, stopCancelWatch: stopCancelWatch}, true, nil
}

func (c *Conn) write(req *Request) (sent bool, err error) {
	c.upload = nil
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
	upload := strictresponse.NewUpload()
	c.upload = upload
	go func() {
		_, err := c.socket.Write(req.Body)
		upload.End(err)
	}()
	return true, nil
}

// SetIdleTimeout sets the time after which the target closes an idle connection.
// It ignores a timeout of 0 or less.
func (e *Exchange) SetIdleTimeout(timeout time.Duration) {
	if timeout > 0 {
		e.conn.idleTimeout = timeout
	}
}

// Discard ends the exchange of a response whose body isn't needed. It keeps the
// connection only if the rest of the body is short and arrives soon.
func (e *Exchange) Discard() {
	e.Finish(e.drain())
}

// drain reads the rest of the body and reports whether it has ended.
func (e *Exchange) drain() bool {
	if e.conn.socket.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(e.Response.Body, maxDrainBytes))
	if err != nil || n == maxDrainBytes {
		return false
	}
	return e.conn.socket.SetReadDeadline(time.Time{}) == nil
}

// Finish ends the exchange. The caller sets complete if it has read the response
// to its end. The connection is returned to the pool if the response is complete
// and no unread bytes are left; otherwise it is closed.
func (e *Exchange) Finish(complete bool) {
	ctxDone := !e.stopCancelWatch()
	c := e.conn
	if !complete || ctxDone || e.Response.Close || c.isUploading() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.pool.putIdle(c)
}

// isUploading reports whether a large body has not been written completely.
func (c *Conn) isUploading() bool { return c.upload != nil && !c.upload.Succeeded() }

// Return returns a connection on which nothing has been sent since Get to its pool.
func (c *Conn) Return() { c.pool.putIdle(c) }

// Close closes the connection and decrements the pool's number of open
// connections.
func (c *Conn) Close() {
	c.closeSocket()
	c.pool.release()
}

// closeSocket closes the socket. It ignores errors, as there is no way to handle
// a socket that is already closed or fails to close.
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

// idleTimeoutMargin returns the safety margin at the end of a target's idle
// timeout, within which an idle connection is no longer used. Otherwise the target
// might close the connection while a request is being sent.
func idleTimeoutMargin(timeout time.Duration) time.Duration {
	const divisor = 4
	return timeout / divisor
}

// ReadAll reads the rest of the response body into buffer. It fails if the rest is
// longer than limit bytes, or if the buffer's budget leaves no room for it.
func (e *Exchange) ReadAll(buffer *membudget.Buffer, limit int64) ([]byte, error) {
	if e.Response.Body != http.NoBody && e.Response.ContentLength > limit {
		return nil, errors.Annotatef(membudget.ErrTooLarge, "reading a response body of %d bytes", e.Response.ContentLength)
	}
	if err := buffer.ReadAll(e.Response.Body, limit); err != nil {
		return nil, errors.Annotate(err, "reading a response body")
	}
	return buffer.Bytes(), nil
}
