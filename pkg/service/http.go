package service

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/oncehttp"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// MaxResponseBytes limits the body of a response.
const MaxResponseBytes = 4 << 20

// HeaderRequestID is the header that carries Call.RequestID to the service.
const HeaderRequestID = "Baobab-Request-Id"

// strippedHeaders lists the headers that are not forwarded to a service: those that
// may contain the caller's API key, and hop-by-hop headers.
var strippedHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Timeouts holds the timeouts of the HTTP client.
type Timeouts struct {
	// Dial limits the time to connect.
	Dial time.Duration
	// Call limits the whole call.
	Call time.Duration
}

// HTTP is a Caller that sends its calls over HTTP. It never retries a call, whatever
// the method and headers, and is safe for concurrent use.
type HTTP struct {
	client   *oncehttp.Client
	addr     string
	timeouts Timeouts
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client for the service at addr (host:port) with its own
// connection pool. All fields of t must be positive.
func NewHTTP(addr string, t Timeouts) *HTTP {
	return &HTTP{client: oncehttp.New(t.Dial), addr: addr, timeouts: t}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Call implements Caller. Every complete response is returned, whatever its status
// code. Every error is either ErrNotSent or ErrOutcomeUnknown.
func (h *HTTP) Call(ctx context.Context, call Call) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeouts.Call)
	defer cancel()
	req, err := h.newRequest(ctx, call)
	if err != nil {
		return Response{}, errors.WithType(err, ErrNotSent)
	}
	resp, sent, err := h.client.Do(req) //nolint:bodyclose // ReadAll closes it
	if err != nil && !sent {
		return Response{}, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	if err != nil {
		return Response{}, h.outcomeUnknown(err)
	}
	body, err := strictresponse.ReadAll(resp, MaxResponseBytes)
	if err != nil {
		return Response{}, h.outcomeUnknown(err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// newRequest returns the HTTP request for a call.
func (h *HTTP) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	requestURI, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	endpoint := url.URL{Scheme: "http", Host: h.addr, Path: requestURI.Path, RawPath: requestURI.RawPath, RawQuery: requestURI.RawQuery}
	req, err := http.NewRequestWithContext(ctx, call.Method, endpoint.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	for _, header := range strippedHeaders {
		req.Header.Del(header)
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	return req, nil
}

// outcomeUnknown closes idle connections, since they may have failed like the
// current one, and returns err as ErrOutcomeUnknown.
func (h *HTTP) outcomeUnknown(err error) error {
	h.client.CloseIdleConnections()
	return errors.WithType(errors.Trace(err), ErrOutcomeUnknown)
}
