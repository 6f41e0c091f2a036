package peer

import (
	"context"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// callConn is a pooled connection that is not used again once the context of a
// call on it has ended before the call did. Such a call closes its connection,
// but the pool may get the connection back just before that; the next call would
// then fail with the end of the earlier one's context.
type callConn struct {
	*drpcconn.Conn

	mu sync.Mutex
	// callErr is the error of the latest call's context; nil once the pool has
	// asked for the connection's state after the call.
	callErr func() error
	spoilt  bool
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Invoke implements drpc.Conn.
func (c *callConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	c.begin(ctx)
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// NewStream implements drpc.Conn.
func (c *callConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	c.begin(ctx)
	return c.Conn.NewStream(ctx, rpc, enc)
}

func (c *callConn) begin(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callErr = ctx.Err
}

// Closed implements drpc.Conn. The pool asks it as soon as a call has ended,
// before it keeps the connection: a context that ends later doesn't matter.
func (c *callConn) Closed() <-chan struct{} {
	c.mu.Lock()
	ended := c.callErr != nil && c.callErr() != nil
	c.callErr = nil
	first := ended && !c.spoilt
	c.spoilt = c.spoilt || ended
	spoilt := c.spoilt
	c.mu.Unlock()
	if first {
		// The call's own end closes it too; an error has no further meaning.
		_ = c.Close()
	}
	if spoilt {
		return closedChannel
	}
	return c.Conn.Closed()
}
