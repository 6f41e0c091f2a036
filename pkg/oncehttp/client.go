// Package oncehttp sends HTTP requests at most once and proves, when one
// fails, whether any of its bytes can have left.
//
// The standard transport repeats some requests by itself when a reused
// connection breaks: those with a safe method or an idempotency key header
// whose body is empty or can be read again. Client gives every request a body
// that can't be read again, which rules the repetition out for all methods and
// headers.
package oncehttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	maxIdleConns    = 64
	idleConnTimeout = 30 * time.Second
	// maxHeaderBytes bounds an answer's header.
	maxHeaderBytes = 1 << 16
)

// Client is an HTTP/1.1 client with connections of its own.
type Client struct {
	transport *http.Transport
}

// New returns a Client whose connection attempts end after dial.
func New(dial time.Duration) *Client {
	dialer := net.Dialer{Timeout: dial}
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Do sends one request and returns the answer's header. On an error, sent says
// whether bytes of the request may have left; when it is false, none has left
// and none will. Do follows no redirects. The caller closes the answer's body.
func (c *Client) Do(req *http.Request) (resp *http.Response, sent bool, err error) {
	var track tracker
	trace := &httptrace.ClientTrace{GotConn: track.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil
	req.Body = onceBody(req.Body)
	resp, err = c.transport.RoundTrip(req)
	if err != nil {
		return nil, track.sent(), err
	}
	return resp, true, nil
}

// CloseIdleConnections closes the connections that carry no request. It is for callers
// that saw one connection fall silent: its neighbours may be silent too.
func (c *Client) CloseIdleConnections() {
	c.transport.CloseIdleConnections()
}

// onceBody hides everything of a body but its reader.
func onceBody(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		body = http.NoBody
	}
	return struct{ io.ReadCloser }{body}
}

// tracker follows the connection that one request was given.
type tracker struct {
	mu   sync.Mutex
	conn *countingConn
	mark uint64
}

// gotConn notes the connection and its writes before the request's first byte.
func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		panic("oncehttp: connection of another transport")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.mark = conn, conn.begun()
}

// sent says whether bytes may have left. A connection without a write is
// sealed first, so that a false answer stays true.
func (t *tracker) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && !t.conn.sealUnwritten(t.mark)
}
