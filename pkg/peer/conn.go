package peer

import (
	"context"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// pooledConn is a connection in the pool of a Client. It is not reused after a call that
// was cancelled or timed out. drpc closes the connection after such a call, but the
// connection may return to the pool just before that. The next call on it would then
// fail with the context error of the earlier one.
type pooledConn struct {
	*drpcconn.Conn

	mu sync.Mutex
	// contextErr is the Err method of the latest call's context. It is nil once the
	// pool has checked the connection after that call.
	contextErr func() error
	unusable   bool
}

// closedChannel is the result of Closed for connections that must not be reused.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Invoke implements drpc.Conn.
func (c *pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	c.recordContext(ctx)
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// NewStream implements drpc.Conn.
func (c *pooledConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	c.recordContext(ctx)
	return c.Conn.NewStream(ctx, rpc, enc)
}

// recordContext records the context of the call that starts on the connection.
func (c *pooledConn) recordContext(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contextErr = ctx.Err
}

// Closed implements drpc.Conn. The pool calls it as soon as a call has ended and keeps
// the connection only if it is not closed. A context that ends later has no effect on
// the connection.
func (c *pooledConn) Closed() <-chan struct{} {
	c.mu.Lock()
	cancelled := c.contextErr != nil && c.contextErr() != nil
	c.contextErr = nil
	mustClose := cancelled && !c.unusable
	c.unusable = c.unusable || cancelled
	unusable := c.unusable
	c.mu.Unlock()
	if mustClose {
		// The cancelled call closes the connection as well, so an error can be ignored.
		_ = c.Close()
	}
	if unusable {
		return closedChannel
	}
	return c.Conn.Closed()
}
