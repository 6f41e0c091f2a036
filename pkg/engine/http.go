package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/oncehttp"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// maxBodyBytes limits the body of a response that is not a stream.
const maxBodyBytes = 1 << 20

// HTTP is an Engine that sends its requests over HTTP with JSON bodies. It never
// retries a request and is safe for concurrent use.
type HTTP struct {
	client   *oncehttp.Client
	base     url.URL
	timeouts Timeouts
}

var _ Engine = (*HTTP)(nil)

// NewHTTP returns a client for the engine at addr (host:port) with its own
// connection pool. All fields of t must be positive.
func NewHTTP(addr string, t Timeouts) *HTTP {
	return &HTTP{
		client:   oncehttp.New(t.Dial),
		base:     url.URL{Scheme: "http", Host: addr},
		timeouts: t,
	}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Generate implements Engine.
func (h *HTTP) Generate(ctx context.Context, req Request) (Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrRejected)
	}
	lines, err := h.openStream(ctx, http.MethodPost, PathGenerate, nil, body)
	if err != nil {
		return nil, err
	}
	return &chunkStream{lines: lines, nextSeq: 1}, nil
}

// Resume implements Engine.
func (h *HTTP) Resume(ctx context.Context, id string, from uint64) (Stream, error) {
	query := url.Values{"id": {id}, "from": {strconv.FormatUint(from, 10)}}
	lines, err := h.openStream(ctx, http.MethodGet, PathStreams, query, nil)
	if err != nil {
		return nil, err
	}
	return &chunkStream{lines: lines, nextSeq: from}, nil
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, id string) error {
	return h.call(ctx, http.MethodDelete, PathStreams, url.Values{"id": {id}}, nil, nil)
}

// CacheEvents implements Engine.
func (h *HTTP) CacheEvents(ctx context.Context, boot, after uint64) (EventStream, error) {
	query := url.Values{
		"boot":  {strconv.FormatUint(boot, 10)},
		"after": {strconv.FormatUint(after, 10)},
	}
	lines, err := h.openStream(ctx, http.MethodGet, PathEvents, query, nil)
	if err != nil {
		return nil, err
	}
	return &eventStream{lines: lines}, nil
}

// LoadReport implements Engine.
func (h *HTTP) LoadReport(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := h.call(ctx, http.MethodGet, PathLoad, nil, nil, &report)
	return report, err
}

// SendOrder implements Engine.
func (h *HTTP) SendOrder(ctx context.Context, order Order) error {
	return h.call(ctx, http.MethodPost, PathOrders, nil, order, nil)
}

// ImportBlocks implements Engine.
func (h *HTTP) ImportBlocks(ctx context.Context, req ImportRequest) (int, error) {
	var result ImportResult
	err := h.call(ctx, http.MethodPost, PathImports, nil, req, &result)
	return result.Blocks, err
}

// call sends a request with a JSON body, limited by Timeouts.Call, and decodes the
// response into out.
func (h *HTTP) call(ctx context.Context, method, path string, query url.Values, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeouts.Call)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.WithType(errors.Trace(err), ErrNotSent)
		}
	}
	resp, err := h.send(ctx, method, path, query, body) //nolint:bodyclose // ReadAll closes it
	if err != nil {
		return err
	}
	data, err := strictresponse.ReadAll(resp, maxBodyBytes)
	if err != nil {
		return h.connectionLost(err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return h.connectionLost(err)
	}
	return nil
}

// send sends one request and returns the response, whose body the caller must close. It maps
// failures and error statuses to the errors of this package.
func (h *HTTP) send(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	endpoint := h.base
	endpoint.Path, endpoint.RawQuery = path, query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, endpoint.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, sent, err := h.client.Do(req)
	if err != nil && !sent {
		return nil, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	if err != nil {
		return nil, h.connectionLost(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, statusError(resp)
	}
	return resp, nil
}

// connectionLost closes idle connections, since they may have failed like the
// current one, and returns err as ErrConnectionLost.
func (h *HTTP) connectionLost(err error) error {
	h.client.CloseIdleConnections()
	return errors.WithType(errors.Trace(err), ErrConnectionLost)
}

// statusError reads an error response and maps it to an error of this package. Responses that do
// not show whether the request ran map to ErrConnectionLost: those with CodeDuplicate,
// with an unknown error code, or without a valid body.
func statusError(resp *http.Response) error {
	var body ErrorBody
	data, err := strictresponse.ReadAll(resp, maxBodyBytes)
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "status %d", resp.StatusCode), ErrConnectionLost)
	}
	cause := errors.Errorf("status %d: %s", resp.StatusCode, body.Message)
	switch body.Code {
	case CodeRejected:
		return errors.WithType(cause, ErrRejected)
	case CodeStaleFencingToken:
		return errors.WithType(cause, ErrStaleFencingToken)
	case CodeUnknownStream:
		return errors.WithType(cause, ErrUnknownStream)
	default:
		return errors.WithType(cause, ErrConnectionLost)
	}
}
