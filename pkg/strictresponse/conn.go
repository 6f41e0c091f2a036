package strictresponse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// Conn is a connection to a server that checks the heads of the responses it reads. Its first
// bytes are a head.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// inHead is set from the beginning of a response to the end of its head.
	inHead bool
	head   head
	// err is the first error of a check, after which nothing is read any more.
	err error
	// receiptErr is set if the peer has ended the connection and had not received all of the request.
	receiptErr error
}

// NewConn returns a Conn on a connection that has not been read from.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, inHead: true}
}

// beginResponse tells that the next bytes are the head of a response, which takes the given memory. It must
// be called before each request, or before its response is read.
func (c *Conn) beginResponse(memory Memory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = true
	c.head.reset(memory)
}

// Request is what the reader of a response has to know of its request.
type Request struct {
	Method string
	// Upload is the write of the request; nil if that has ended.
	Upload *Upload
	// Memory is what the head of the response takes; nil if nobody counts it.
	Memory Memory
}

// ReadResponse reads the head of the response to a request from reader, which buffers c, and passes over
// the informational responses before it.
func (c *Conn) ReadResponse(reader *bufio.Reader, req Request) (*http.Response, error) {
	c.beginResponse(req.Memory)
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode >= http.StatusOK {
			checkBody(resp, c, req.Upload)
			return resp, nil
		}
	}
}

// checkReceipt returns an error if the peer has ended the connection and had not received all of the
// request.
func (c *Conn) checkReceipt() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receiptErr
}

// Read implements net.Conn. It returns an error instead of the bytes with which a head
// becomes invalid or too large.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var receiptErr error
	if errors.Is(err, io.EOF) {
		// Whoever reads the end may close the connection, after which the kernel doesn't tell.
		receiptErr = awaitReceipt(c.Conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiptErr = receiptErr
	if c.err == nil && c.inHead {
		var ended bool
		ended, c.err = c.head.check(p[:n])
		c.inHead = !ended
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err
}
