package kv

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// SharedGet reads one key for several callers at a time. Each gets the result of a call that
// began after it asked, so that the result holds whatever was written before.
type SharedGet struct {
	Store Store
	Key   string
	// Timeout bounds a call.
	Timeout time.Duration

	mu sync.Mutex
	// next is the call for those that ask while another one is in progress; running is set
	// while there is one.
	next    *sharedCall
	running bool
}

// sharedCall is a call with its result, which is set once done is closed.
type sharedCall struct {
	done  chan struct{}
	entry Entry
	err   error
}

// Get returns the entry of the key, or an error as Store.Get does.
func (g *SharedGet) Get(ctx context.Context) (Entry, error) {
	call := g.join()
	select {
	case <-call.done:
		return call.entry, call.err
	case <-ctx.Done():
		return Entry{}, errors.WithType(errors.Annotate(ctx.Err(), "waiting for a read of the store"), ErrUnavailable)
	}
}

// join returns the next call, which has not begun.
func (g *SharedGet) join() *sharedCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &sharedCall{done: make(chan struct{})}
	}
	if !g.running {
		g.running = true
		go g.run()
	}
	return g.next
}

// run makes the calls that are asked for, one after the other.
func (g *SharedGet) run() {
	for call := g.take(); call != nil; call = g.take() {
		ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
		call.entry, call.err = g.Store.Get(ctx, g.Key)
		cancel()
		close(call.done)
	}
}

// take returns the next call, or nil if there is none.
func (g *SharedGet) take() *sharedCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	call := g.next
	g.next, g.running = nil, call != nil
	return call
}
