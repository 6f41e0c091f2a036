package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/oncehttp"
)

// maxBodyBytes bounds the body of a short answer.
const maxBodyBytes = 1 << 20

// HTTP is the HTTP and JSON adapter of one engine. It repeats no request, and
// it is safe for concurrent use.
type HTTP struct {
	client   *oncehttp.Client
	base     url.URL
	timeouts Timeouts
}

var _ Engine = (*HTTP)(nil)

// NewHTTP returns the adapter of the engine at addr, host:port, with
// connections of its own. All fields of t must be above 0.
func NewHTTP(addr string, t Timeouts) *HTTP {
	return &HTTP{
		client:   oncehttp.New(t.Dial),
		base:     url.URL{Scheme: "http", Host: addr},
		timeouts: t,
	}
}

// Close closes the idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Generate implements Engine.
func (h *HTTP) Generate(ctx context.Context, req Request) (Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrRejected)
	}
	lines, err := h.follow(ctx, http.MethodPost, PathGenerate, nil, body)
	if err != nil {
		return nil, err
	}
	return &chunkStream{lines: lines, next: 1}, nil
}

// Resume implements Engine.
func (h *HTTP) Resume(ctx context.Context, id string, from uint64) (Stream, error) {
	query := url.Values{"id": {id}, "from": {strconv.FormatUint(from, 10)}}
	lines, err := h.follow(ctx, http.MethodGet, PathStreams, query, nil)
	if err != nil {
		return nil, err
	}
	return &chunkStream{lines: lines, next: from}, nil
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, id string) error {
	return h.short(ctx, http.MethodDelete, PathStreams, url.Values{"id": {id}}, nil, nil)
}

// CacheEvents implements Engine.
func (h *HTTP) CacheEvents(ctx context.Context, boot, after uint64) (EventStream, error) {
	query := url.Values{
		"boot":  {strconv.FormatUint(boot, 10)},
		"after": {strconv.FormatUint(after, 10)},
	}
	lines, err := h.follow(ctx, http.MethodGet, PathEvents, query, nil)
	if err != nil {
		return nil, err
	}
	return &eventStream{lines: lines}, nil
}

// LoadReport implements Engine.
func (h *HTTP) LoadReport(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := h.short(ctx, http.MethodGet, PathLoad, nil, nil, &report)
	return report, err
}

// SendOrder implements Engine.
func (h *HTTP) SendOrder(ctx context.Context, order Order) error {
	return h.short(ctx, http.MethodPost, PathOrders, nil, order, nil)
}

// ImportBlocks implements Engine.
func (h *HTTP) ImportBlocks(ctx context.Context, transfer ImportRequest) (int, error) {
	var result ImportResult
	err := h.short(ctx, http.MethodPost, PathImports, nil, transfer, &result)
	return result.Blocks, err
}

// short makes one call bounded by Timeouts.Call.
func (h *HTTP) short(ctx context.Context, method, path string, query url.Values, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, h.timeouts.Call)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.WithType(errors.Trace(err), ErrNotSent)
		}
	}
	answer, err := h.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer, maxBodyBytes))
	if err != nil {
		return h.broken(err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return h.broken(err)
	}
	return nil
}

// send sends one request and returns the answer's body. It maps failures and
// error statuses to the package's errors.
func (h *HTTP) send(ctx context.Context, method, path string, query url.Values, body []byte) (io.ReadCloser, error) {
	target := h.base
	target.Path, target.RawQuery = path, query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, sent, err := h.client.Do(req)
	if err != nil && !sent {
		return nil, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	if err != nil {
		return nil, h.broken(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer func() { _ = resp.Body.Close() }()
		return nil, statusError(resp)
	}
	return resp.Body, nil
}

// broken types an error as ErrConnectionLost and gives up idle connections, which
// may be as dead as the one that broke.
func (h *HTTP) broken(err error) error {
	h.client.CloseIdleConnections()
	return errors.WithType(errors.Trace(err), ErrConnectionLost)
}

// statusError returns the package's error for an error status. A status
// without a known code proves nothing and becomes ErrConnectionLost.
func statusError(resp *http.Response) error {
	var body ErrorBody
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
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
