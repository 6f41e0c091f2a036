// Package oncehttp sends HTTP requests at most once. When a request fails, it
// reports whether any bytes of the request may have been sent.
//
// http.Transport retries some requests by itself when a reused connection breaks:
// those with an idempotent method or an idempotency key header whose body is empty
// or can be read again. Client gives every request a body that can't be read
// again, which rules out such retries for all methods and headers.
package oncehttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

const (
	maxIdleConns    = 64
	idleConnTimeout = 30 * time.Second
)

// Client is an HTTP/1.1 client with its own connection pool.
type Client struct {
	transport *strictresponse.Transport
}

// New returns a Client whose connection attempts time out after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{transport: strictresponse.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	})}
}

// Do sends one request and returns the response. On an error, sent reports whether
// any bytes of the request may have been sent; if it is false, none have been and
// none will be. Do doesn't follow redirects. The caller must close the response's
// body.
func (c *Client) Do(req *http.Request) (resp *http.Response, sent bool, err error) {
	var tracker requestTracker
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil
	req.Body = unreplayableBody(req.Body)
	resp, err = c.transport.RoundTrip(req)
	if err != nil {
		return nil, tracker.sent(), err
	}
	return resp, true, nil
}

// CloseIdleConnections closes the idle connections. Callers use it when a
// connection stops responding, since the other connections may be broken too.
func (c *Client) CloseIdleConnections() {
	c.transport.CloseIdleConnections()
}

// unreplayableBody wraps a body so that the transport can't recognise it as empty
// or replay it.
func unreplayableBody(body io.ReadCloser) io.ReadCloser {
	if body == nil || body == http.NoBody {
		body = http.NoBody
	}
	return struct{ io.ReadCloser }{body}
}

// requestTracker tracks the connection that the transport uses for one request.
type requestTracker struct {
	mu           sync.Mutex
	conn         *sealableConn
	writesBefore uint64
}

// gotConn records the connection and its number of writes before the request.
func (t *requestTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := sealable(info.Conn)
	if !ok {
		panic("oncehttp: connection was not dialed by this client")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.writesBefore = conn, conn.writeCount()
}

// sealable returns the sealableConn below a connection of the transport.
func sealable(conn net.Conn) (*sealableConn, bool) {
	if checked, ok := conn.(*strictresponse.Conn); ok {
		conn = checked.Conn
	}
	sealableConn, ok := conn.(*sealableConn)
	return sealableConn, ok
}

// sent reports whether any bytes of the request may have been sent. A connection
// without a write for the request is sealed, so that none can be sent later.
func (t *requestTracker) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && !t.conn.sealIfUnwritten(t.writesBefore)
}
