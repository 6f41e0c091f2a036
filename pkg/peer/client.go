// Package peer implements the drpc client and server through which routers and
// agents call agents.
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

// ErrConnectionRefused is returned when the peer's address refused the connection. This
// shows that no process listens there and that any earlier process there has ended.
const ErrConnectionRefused = errors.ConstError("peer refused the connection")

// ClientOptions configures a Client.
type ClientOptions struct {
	// DialTimeout limits the time to connect to a peer.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused pooled connection is closed.
	IdleTimeout time.Duration
	// MaxIdle and MaxIdlePerPeer limit the number of pooled connections.
	MaxIdle        int
	MaxIdlePerPeer int
	// TLS, if not nil, enables mutual TLS.
	TLS *tls.Config
	// WrapConn, if not nil, wraps each new connection, for example to count its bytes.
	WrapConn func(net.Conn) net.Conn
}

// poolKey is the key of a peer's connections in the pool. Incrementing the generation
// stops the reuse of all earlier connections to the peer.
type poolKey struct {
	address    string
	generation uint64
}

// Client calls peers over pooled connections, each of which carries one call at a
// time. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	pool    *drpcpool.Pool[poolKey, *pooledConn]

	mu          sync.Mutex
	generations map[string]uint64
}

// NewClient returns a Client. It opens connections on demand.
func NewClient(options ClientOptions) *Client {
	return &Client{
		options: options,
		pool: drpcpool.New[poolKey, *pooledConn](drpcpool.Options{
			Expiration:  options.IdleTimeout,
			Capacity:    options.MaxIdle,
			KeyCapacity: options.MaxIdlePerPeer,
		}),
		generations: make(map[string]uint64),
	}
}

// Agent returns a drpc client for the agent at address (host:port). If a call is
// cancelled or times out, its connection is closed.
func (c *Client) Agent(ctx context.Context, address string) peerpb.DRPCAgentClient {
	key := poolKey{address: address, generation: c.generation(address)}
	return peerpb.NewDRPCAgentClient(c.pool.Get(ctx, key, c.dial))
}

// DiscardConnections stops the reuse of all pooled connections to a peer. It is meant
// for a peer that stops responding on one connection, since the others may have failed
// as well.
func (c *Client) DiscardConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generations[address]++
}

// Close closes all pooled connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

// generation returns the current pool generation of a peer.
func (c *Client) generation(address string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations[address]
}

// dial opens the connection for a pool entry.
func (c *Client) dial(ctx context.Context, key poolKey) (*pooledConn, error) {
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
	return &pooledConn{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})}, nil
}

// dialTransport opens a TCP connection, or a TLS connection if TLS is enabled.
func (c *Client) dialTransport(ctx context.Context, address string) (net.Conn, error) {
	if c.options.TLS == nil {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	dialer := tls.Dialer{Config: c.options.TLS}
	return dialer.DialContext(ctx, "tcp", address)
}

// managerOptions returns the drpc options shared by clients and servers.
func managerOptions() drpcmanager.Options {
	var options drpcmanager.Options
	options.Reader.MaximumBufferSize = MaxMessageBytes
	return options
}
