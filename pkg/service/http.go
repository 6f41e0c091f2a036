package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/oncehttp"
)

// MaxResponseBytes bounds the body of an answer.
const MaxResponseBytes = 4 << 20

// HeaderRequestID carries Call.RequestID to the service.
const HeaderRequestID = "Baobab-Request-Id"

// droppedHeaders never reach a service: those that hold a caller's key and those
// that concern one connection.
var droppedHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Timeouts of the HTTP adapter.
type Timeouts struct {
	// Dial bounds connecting.
	Dial time.Duration
	// Call bounds the whole call.
	Call time.Duration
}

// HTTP is the HTTP adapter of one service. It repeats no call, whatever its
// method and headers, and it is safe for concurrent use.
type HTTP struct {
	client   *oncehttp.Client
	addr     string
	timeouts Timeouts
}

var _ Caller = (*HTTP)(nil)

// NewHTTP returns the adapter of the service at addr, host:port, with
// connections of its own. All fields of t must be above 0.
func NewHTTP(addr string, t Timeouts) *HTTP {
	return &HTTP{client: oncehttp.New(t.Dial), addr: addr, timeouts: t}
}

// Close closes the idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Call implements Caller. Every answer that arrives whole is returned with its
// status; each error is either ErrNotSent or ErrOutcomeUnknown.
func (h *HTTP) Call(ctx context.Context, call Call) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeouts.Call)
	defer cancel()
	req, err := h.request(ctx, call)
	if err != nil {
		return Response{}, errors.WithType(err, ErrNotSent)
	}
	resp, sent, err := h.client.Do(req)
	if err != nil && !sent {
		return Response{}, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	if err != nil {
		return Response{}, h.unknown(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err == nil && len(body) > MaxResponseBytes {
		err = errors.Errorf("answer exceeds %d bytes", MaxResponseBytes)
	}
	if err != nil {
		return Response{}, h.unknown(err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// request builds the HTTP request of a call.
func (h *HTTP) request(ctx context.Context, call Call) (*http.Request, error) {
	path, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	target := url.URL{Scheme: "http", Host: h.addr, Path: path.Path, RawPath: path.RawPath, RawQuery: path.RawQuery}
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	for _, name := range droppedHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	return req, nil
}

// unknown types an error as ErrOutcomeUnknown and gives up idle connections, which
// may be as dead as the one that broke.
func (h *HTTP) unknown(err error) error {
	h.client.CloseIdleConnections()
	return errors.WithType(errors.Trace(err), ErrOutcomeUnknown)
}
