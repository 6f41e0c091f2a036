package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// call is a request of a caller, and its answer.
type call struct {
	id      string
	method  string
	path    string
	body    []byte
	header  map[string]string
	timeout time.Duration
	// address is the process that the request is sent to.
	address string

	sentAt time.Duration
	tookMS int64
	// status is 0 without a response. complete is set if its body was whole.
	status   int
	complete bool
	stamp    string
	reason   string
	err      error
	response []byte
}

// callers sends requests with one HTTP client.
type callers struct {
	rec    *record
	host   string
	key    string
	client *http.Client
}

func newCallers(rec *record, host, key string) *callers {
	dialer := &net.Dialer{Timeout: time.Second}
	return &callers{rec: rec, host: host, key: key, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// newRequestID returns an ID of a client attempt.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends the request and reads the whole response.
func (c *callers) do(q *call) {
	start := time.Now()
	q.sentAt = start.Sub(c.rec.start)
	defer func() {
		q.tookMS = time.Since(start).Milliseconds()
		c.rec.log("caller: %s %s %s to %s: status %d complete %v stamp %q after %d ms %s %s", q.id, q.method, q.path, q.address, q.status, q.complete, q.stamp, q.tookMS, q.reason, errText(q.err))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	var body io.Reader
	if q.body != nil {
		body = bytes.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+q.path, body)
	if err != nil {
		q.err = err
		return
	}
	r.GetBody = nil
	r.Host = c.host
	r.Header.Set("X-Baobabhub-Request-Id", q.id)
	r.Header.Set("X-Api-Key", c.key)
	r.Header.Set("X-Baobabhub-Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		q.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	q.status, q.stamp = resp.StatusCode, resp.Header.Get("X-Baobabhub-Stamp")
	q.response, q.err = io.ReadAll(resp.Body)
	q.complete = q.err == nil
	if q.stamp == "" {
		q.reason = string(bytes.TrimSpace(q.response))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}
