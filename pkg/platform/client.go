package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
)

// maxReplyBytes bounds the body of a response: a list of all keys below a prefix.
const maxReplyBytes = 16 << 20

// Config holds the settings of a Client.
type Config struct {
	// Address is the service's host:port.
	Address string
	// CallTimeout limits each call. For a watch, it is added to the wait time.
	CallTimeout time.Duration
	// CallsPerSecond and CallBurst limit the rate of this process's calls.
	CallsPerSecond float64
	CallBurst      int
}

// DefaultConfig returns the default settings of a fleet's processes.
func DefaultConfig(address string) Config {
	return Config{Address: address, CallTimeout: time.Second, CallsPerSecond: 20, CallBurst: 40}
}

// Client implements kv.Store and VMLister over HTTP with JSON bodies. It is safe for
// concurrent use.
type Client struct {
	config  Config
	http    *http.Client
	limiter *rate.Limiter
	reads   singleflight.Group
	started time.Time
	// lastContact is the time of the last response, in nanoseconds after started.
	lastContact atomic.Int64
}

var (
	_ kv.Store = (*Client)(nil)
	_ VMLister = (*Client)(nil)
)

// NewClient returns a Client. It opens connections on demand.
func NewClient(config Config) *Client {
	return &Client{
		config:  config,
		http:    &http.Client{Transport: strictresponse.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute})},
		limiter: rate.NewLimiter(rate.Limit(config.CallsPerSecond), config.CallBurst),
		started: time.Now(),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ContactAge returns the time since the service last responded to a call. Before the
// first response, it returns the time since the client was created.
func (c *Client) ContactAge() time.Duration {
	return time.Since(c.started) - time.Duration(c.lastContact.Load())
}

// Get implements kv.Store. Concurrent calls for the same key share one request.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	return coalesce(ctx, c, "get "+key, func(ctx context.Context) (kv.Entry, error) {
		var entry kv.Entry
		err := c.do(ctx, 0, http.MethodGet, PathKV+"?key="+url.QueryEscape(key), nil, &entry)
		return entry, err
	})
}

// List implements kv.Store. Concurrent calls for the same prefix share one request.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	reply, err := coalesce(ctx, c, "list "+prefix, func(ctx context.Context) (ListReply, error) {
		var reply ListReply
		err := c.do(ctx, 0, http.MethodGet, PathKV+"?prefix="+url.QueryEscape(prefix), nil, &reply)
		return reply, err
	})
	return reply.Entries, reply.Revision, err
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(ctx context.Context, put kv.Put) (uint64, error) {
	if len(put.Value) > kv.MaxValueBytes {
		return 0, errors.NotValidf("value of %d bytes", len(put.Value))
	}
	var reply RevisionReply
	err := c.do(ctx, 0, http.MethodPut, PathKV, PutRequest(put), &reply)
	return reply.Revision, err
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, expectRevision uint64) error {
	path := PathKV + "?key=" + url.QueryEscape(key) + "&expect_revision=" + strconv.FormatUint(expectRevision, 10)
	return c.do(ctx, 0, http.MethodDelete, path, nil, nil)
}

// Watch implements kv.Store. It returns kv.ErrUnavailable if no response arrives
// within wait plus the call timeout.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Changes, error) {
	path := PathWatch + "?prefix=" + url.QueryEscape(prefix) +
		"&after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var reply WatchReply
	err := c.do(ctx, wait, http.MethodGet, path, nil, &reply)
	return kv.Changes(reply), err
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var reply LeaseReply
	err := c.do(ctx, 0, http.MethodPost, PathLeases, LeaseRequest{TTLMillis: ttl.Milliseconds()}, &reply)
	return reply.ID, err
}

// Renew implements kv.Store.
func (c *Client) Renew(ctx context.Context, lease kv.LeaseID) error {
	return c.do(ctx, 0, http.MethodPost, PathLeases+"/"+url.PathEscape(string(lease))+"/renew", nil, nil)
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, lease kv.LeaseID) error {
	return c.do(ctx, 0, http.MethodDelete, PathLeases+"/"+url.PathEscape(string(lease)), nil, nil)
}

// ListVMs implements VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	reply, err := coalesce(ctx, c, "vms", func(ctx context.Context) (VMsReply, error) {
		var reply VMsReply
		err := c.do(ctx, 0, http.MethodGet, PathVMs, nil, &reply)
		return reply, err
	})
	return reply.VMs, err
}

// coalesce merges concurrent reads with the same key into one request. The request
// continues when a caller's context ends; only the call timeout limits it.
func coalesce[T any](ctx context.Context, c *Client, key string, read func(context.Context) (T, error)) (T, error) {
	results := c.reads.DoChan(key, func() (any, error) {
		return read(context.WithoutCancel(ctx))
	})
	select {
	case <-ctx.Done():
		var zero T
		return zero, kv.ErrUnavailable
	case result := <-results:
		return result.Val.(T), result.Err
	}
}

// do sends one call if the rate limit allows it, and decodes the response into reply.
func (c *Client) do(ctx context.Context, wait time.Duration, method, path string, body, reply any) error {
	if !c.limiter.Allow() {
		return kv.ErrBudgetExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.config.CallTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Address+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.http.Do(request) //nolint:bodyclose // ReadAll closes it
	if err != nil {
		return errors.WithType(err, kv.ErrUnavailable)
	}
	data, err := strictresponse.ReadAll(response, maxReplyBytes)
	if err != nil {
		return errors.WithType(err, kv.ErrUnavailable)
	}
	if err := statusError(response.StatusCode); err != nil {
		if !errors.Is(err, kv.ErrUnavailable) {
			c.lastContact.Store(int64(time.Since(c.started)))
		}
		return err
	}
	if reply != nil {
		if err := json.Unmarshal(data, reply); err != nil {
			return errors.WithType(err, kv.ErrUnavailable)
		}
	}
	c.lastContact.Store(int64(time.Since(c.started)))
	return nil
}

// statusError maps an HTTP status code to an error of package kv.
func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return kv.ErrNotFound
	case http.StatusConflict:
		return kv.ErrConflict
	case http.StatusGone:
		return kv.ErrLeaseExpired
	case http.StatusRequestedRangeNotSatisfiable:
		return kv.ErrCompacted
	case http.StatusTooManyRequests:
		return kv.ErrBudgetExhausted
	default:
		return kv.ErrUnavailable
	}
}
