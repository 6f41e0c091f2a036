// Package operatorclient is a client for the operator HTTP interface of a router.
package operatorclient

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/operator"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// requestTimeout limits one request. It exceeds the router's timeout for a fleet
// query.
const requestTimeout = 5 * time.Second

// maxReplyBytes limits the size of a response body.
const maxReplyBytes = 16 << 20

// Client sends requests to one router. It is safe for concurrent use.
type Client struct {
	address    string
	httpClient *http.Client
}

// New returns a client for the operator listener at address, in host:port form.
func New(address string) *Client {
	return &Client{address: address, httpClient: &http.Client{Timeout: requestTimeout, Transport: strictresponse.NewTransport(&http.Transport{})}}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Address returns the address of the router's operator listener.
func (c *Client) Address() string { return c.address }

// Status returns the state of the router.
func (c *Client) Status(ctx context.Context) (operator.RouterStatus, error) {
	var status operator.RouterStatus
	err := c.getJSON(ctx, "/status", &status)
	return status, err
}

// Fleet returns the active bundle versions of all agents, which the router queries
// for each call.
func (c *Client) Fleet(ctx context.Context) (operator.FleetStatus, error) {
	var fleet operator.FleetStatus
	err := c.getJSON(ctx, "/fleet", &fleet)
	return fleet, err
}

func (c *Client) getJSON(ctx context.Context, path string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.httpClient.Do(req) //nolint:bodyclose // ReadAll closes it
	if err != nil {
		return errors.Trace(err)
	}
	data, err := strictresponse.ReadAll(resp, maxReplyBytes)
	if err != nil {
		return errors.Annotatef(err, "%s%s", c.address, path)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s: status %d", c.address, path, resp.StatusCode)
	}
	return errors.Annotatef(json.Unmarshal(data, dst), "%s%s", c.address, path)
}
