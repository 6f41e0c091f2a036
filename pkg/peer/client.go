// Package peer is the peer package for the system's own processes: drpc
// connections from routers and agents to agents.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// ErrConnectionRefused means that the peer's address refused the connection: no process
// listens there, so the process that did is gone.
const ErrConnectionRefused = errors.ConstError("peer refused the connection")

// ClientOptions bounds a Client.
type ClientOptions struct {
	// DialTimeout bounds connecting to a peer.
	DialTimeout time.Duration
	// IdleTimeout closes pooled connections that no call has used.
	IdleTimeout time.Duration
	// MaxIdle and MaxIdlePerPeer bound the pooled connections.
	MaxIdle        int
	MaxIdlePerPeer int
	// TLS enables mutual TLS when set.
	TLS *tls.Config
	// WrapConn, when set, wraps each new connection, such as to count its bytes.
	WrapConn func(net.Conn) net.Conn
}

// poolKey names pooled connections of one peer. A new generation abandons the
// pooled connections of the earlier ones.
type poolKey struct {
	address    string
	generation uint64
}

// Client holds pooled connections to peers. A connection carries one call at a
// time. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	pool    *drpcpool.Pool[poolKey, *callConn]

	mu          sync.Mutex
	generations map[string]uint64
}

// NewClient returns a Client without open connections.
func NewClient(options ClientOptions) *Client {
	return &Client{
		options: options,
		pool: drpcpool.New[poolKey, *callConn](drpcpool.Options{
			Expiration:  options.IdleTimeout,
			Capacity:    options.MaxIdle,
			KeyCapacity: options.MaxIdlePerPeer,
		}),
		generations: make(map[string]uint64),
	}
}

// Agent returns the drpc client of the agent at address, host:port. Ending a
// call's context closes the call's connection.
func (c *Client) Agent(ctx context.Context, address string) peerpb.DRPCAgentClient {
	key := poolKey{address: address, generation: c.generation(address)}
	return peerpb.NewDRPCAgentClient(c.pool.Get(ctx, key, c.dial))
}

// DiscardConnections stops the use of all pooled connections to a peer: one of them fell
// silent, and the others may have too.
func (c *Client) DiscardConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generations[address]++
}

// Close closes the pooled connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

func (c *Client) generation(address string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations[address]
}

func (c *Client) dial(ctx context.Context, key poolKey) (*callConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	conn, err := c.dialTransport(ctx, key.address)
	if err != nil {
		if IsConnectionRefused(err) {
			return nil, errors.WithType(err, ErrConnectionRefused)
		}
		return nil, errors.Trace(err)
	}
	if c.options.WrapConn != nil {
		conn = c.options.WrapConn(conn)
	}
	return &callConn{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})}, nil
}

func (c *Client) dialTransport(ctx context.Context, address string) (net.Conn, error) {
	if c.options.TLS == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{Config: c.options.TLS}
	return dialer.DialContext(ctx, "tcp", address)
}

// managerOptions are the drpc settings that clients and servers share.
func managerOptions() drpcmanager.Options {
	var options drpcmanager.Options
	options.Reader.MaximumBufferSize = MaxMessageBytes
	return options
}
