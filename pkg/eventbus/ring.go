// Package eventbus carries a process's own events as watermill messages over
// bounded rings, one ring for each topic.
package eventbus

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"
)

// OverflowPolicy says what happens to a message when its topic's ring is full.
type OverflowPolicy int

// Policies of a topic.
const (
	// Block makes the publisher wait for room.
	Block OverflowPolicy = iota
	// Drop discards the new message and counts it.
	Drop
)

// Topic describes one ring.
type Topic struct {
	Name string
	// Capacity is the number of messages that the ring holds.
	Capacity int
	Overflow OverflowPolicy
}

// Errors of a Ring.
const (
	// ErrUnknownTopic means that the ring has no such topic.
	ErrUnknownTopic = errors.ConstError("unknown topic")
	// ErrClosed means that the ring is closed.
	ErrClosed = errors.ConstError("ring closed")
)

type topicRing struct {
	policy   OverflowPolicy
	messages chan *message.Message
	dropped  atomic.Uint64
}

// Ring is a publisher and subscriber in one process. A subscriber gets the
// next message of a topic once the one before is acknowledged, so that order
// holds. Each topic has at most one subscriber at a time.
type Ring struct {
	topics map[string]*topicRing
	closed chan struct{}
	once   sync.Once
}

// NewRing returns a ring with the given topics.
func NewRing(topics ...Topic) *Ring {
	ring := &Ring{topics: make(map[string]*topicRing, len(topics)), closed: make(chan struct{})}
	for _, topic := range topics {
		ring.topics[topic.Name] = &topicRing{
			policy:   topic.Overflow,
			messages: make(chan *message.Message, topic.Capacity),
		}
	}
	return ring
}

// Publish implements message.Publisher.
func (r *Ring) Publish(topic string, messages ...*message.Message) error {
	ring, ok := r.topics[topic]
	if !ok {
		return errors.Annotate(ErrUnknownTopic, topic)
	}
	for _, msg := range messages {
		if err := r.publish(ring, msg); err != nil {
			return err
		}
	}
	return nil
}

func (r *Ring) publish(ring *topicRing, msg *message.Message) error {
	if ring.policy == Drop {
		select {
		case ring.messages <- msg:
		default:
			ring.dropped.Add(1)
		}
		return nil
	}
	select {
	case ring.messages <- msg:
		return nil
	case <-r.closed:
		return ErrClosed
	}
}

// Subscribe implements message.Subscriber.
func (r *Ring) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	ring, ok := r.topics[topic]
	if !ok {
		return nil, errors.Annotate(ErrUnknownTopic, topic)
	}
	out := make(chan *message.Message)
	go r.deliver(ctx, ring, out)
	return out, nil
}

func (r *Ring) deliver(ctx context.Context, ring *topicRing, out chan<- *message.Message) {
	defer close(out)
	for {
		select {
		case msg := <-ring.messages:
			if !r.deliverOne(ctx, msg, out) {
				return
			}
		case <-ctx.Done():
			return
		case <-r.closed:
			return
		}
	}
}

// deliverOne hands out one message until it is acknowledged.
func (r *Ring) deliverOne(ctx context.Context, msg *message.Message, out chan<- *message.Message) bool {
	for {
		attempt := msg.Copy()
		attempt.SetContext(ctx)
		select {
		case out <- attempt:
		case <-ctx.Done():
			return false
		case <-r.closed:
			return false
		}
		select {
		case <-attempt.Acked():
			return true
		case <-attempt.Nacked():
		case <-ctx.Done():
			return false
		case <-r.closed:
			return false
		}
	}
}

// Dropped returns the number of messages that a full topic has discarded.
func (r *Ring) Dropped(topic string) uint64 {
	ring, ok := r.topics[topic]
	if !ok {
		return 0
	}
	return ring.dropped.Load()
}

// Close implements message.Publisher and message.Subscriber.
func (r *Ring) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}
