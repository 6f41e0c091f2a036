package strictresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper that returns valid responses only. It does not speak TLS.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends its requests with base. The caller must not use base any
// more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{base: base}
}

// sending is one transmission of a request.
type sending struct {
	conn   *Conn
	upload *Upload
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	// The transport may send a request again that a kept connection has lost.
	var latest atomic.Pointer[sending]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*Conn)
			if !ok {
				panic("strictresponse: connection was not dialed by this transport")
			}
			conn.beginResponse(nil)
			latest.Store(&sending{conn: conn, upload: NewUpload()})
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { latest.Load().upload.End(info.Err) },
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	sent := latest.Load()
	checkBody(resp, sent.conn, sent.upload)
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
