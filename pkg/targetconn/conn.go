// Package targetconn sends HTTP/1.1 requests to targets over kept connections.
// It tells whether any byte of a failed request can have left, never sends a
// request twice, and hands out no connection that holds bytes of an older answer.
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

// inlineBodyBytes is the largest body that is written before the answer is read.
const inlineBodyBytes = 8 << 10

// Request is one request with its whole body.
type Request struct {
	Method string
	// URI is the path and query, sent unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection to a target. It carries one request at a time.
type Conn struct {
	pool   *pool
	net    net.Conn
	reader *bufio.Reader
	// keepAlive is how long the target lets the connection idle.
	keepAlive time.Duration
	idleSince time.Time
	// writing is set while a body is still being written.
	writing atomic.Bool
}

// Exchange is an answer whose header has arrived.
type Exchange struct {
	Response *http.Response
	conn     *Conn
	stop     func() bool
}

// Send writes a request and reads the answer's header. On an error, sent says
// whether bytes of the request may have left. The connection ends when ctx ends.
func (c *Conn) Send(ctx context.Context, req *Request) (exchange *Exchange, sent bool, err error) {
	stop := context.AfterFunc(ctx, c.hangUp)
	sent, err = c.write(req)
	if err != nil {
		stop()
		c.Close()
		return nil, sent, errors.Annotate(err, "writing a request")
	}
	resp, err := c.readHeader(req) //nolint:bodyclose // the exchange hands the body on; closing the connection ends it
	if err != nil {
		stop()
		c.Close()
		return nil, true, errors.Annotate(err, "reading an answer")
	}
	return &Exchange{Response: resp, conn: c, stop: stop}, true, nil
}

func (c *Conn) write(req *Request) (sent bool, err error) {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&head); err != nil {
		return false, errors.Trace(err)
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(req.Body) <= inlineBodyBytes {
		head.Write(req.Body)
		n, err := c.net.Write(head.Bytes())
		return n > 0 || err == nil, errors.Trace(err)
	}
	n, err := c.net.Write(head.Bytes())
	if err != nil {
		return n > 0, errors.Trace(err)
	}
	c.writing.Store(true)
	go func() {
		// A failed write shows as a failed read of the answer; an answer
		// before the body's end leaves writing set, which ends the connection.
		if _, err := c.net.Write(req.Body); err == nil {
			c.writing.Store(false)
		}
	}()
	return true, nil
}

// readHeader reads the final answer's header, past informational ones.
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

// SetIdleTimeout sets how long the target lets the connection idle.
func (e *Exchange) SetIdleTimeout(timeout time.Duration) {
	if timeout > 0 {
		e.conn.keepAlive = timeout
	}
}

// Finish ends the exchange. A connection whose answer was read to its end and
// that holds nothing more is kept for the next request; others are closed.
func (e *Exchange) Finish(complete bool) {
	ended := !e.stop()
	c := e.conn
	if !complete || ended || e.Response.Close || c.writing.Load() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.pool.put(c)
}

// Close ends the connection.
func (c *Conn) Close() {
	c.hangUp()
	c.pool.closed()
}

// hangUp closes the socket. There is nothing to do about one that is closed
// already or fails to.
func (c *Conn) hangUp() {
	_ = c.net.Close()
}

// usable says whether an idle connection is open and silent.
func (c *Conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.keepAlive-keepAliveMargin(c.keepAlive) {
		return false
	}
	state := sockstate.Of(c.net)
	return state == sockstate.Silent || state == sockstate.Unknown
}

// keepAliveMargin is the part of a target's idle timeout that is left unused,
// so that no request crosses the target's close.
func keepAliveMargin(timeout time.Duration) time.Duration {
	const share = 4
	return timeout / share
}

// ReadAll reads the rest of an answer's body, at most limit bytes.
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
