// Package eventbus delivers events within a process as watermill messages. Each topic
// has a bounded queue.
package eventbus

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"
)

// OverflowPolicy determines what happens to a new message when the queue of its topic
// is full.
type OverflowPolicy int

// Policies for a full queue.
const (
	// Block makes the publisher wait until the queue has space.
	Block OverflowPolicy = iota
	// Drop discards the new message and counts it.
	Drop
)

// Topic configures a topic and its queue.
type Topic struct {
	Name string
	// Capacity is the maximum number of messages in the queue.
	Capacity int
	Overflow OverflowPolicy
}

// Errors returned by a PubSub.
const (
	// ErrUnknownTopic is returned when the PubSub has no topic with the given name.
	ErrUnknownTopic = errors.ConstError("unknown topic")
	// ErrClosed is returned when the PubSub is closed.
	ErrClosed = errors.ConstError("event bus closed")
)

// topicQueue is the queue of one topic.
type topicQueue struct {
	policy   OverflowPolicy
	messages chan *message.Message
	dropped  atomic.Uint64
}

// PubSub implements message.Publisher and message.Subscriber within a process. A
// subscriber receives the next message of a topic only after it has acknowledged the
// previous one, which preserves the order. Each topic may have at most one subscriber
// at a time.
type PubSub struct {
	topics    map[string]*topicQueue
	closed    chan struct{}
	closeOnce sync.Once
}

// NewPubSub returns a PubSub with the given topics.
func NewPubSub(topics ...Topic) *PubSub {
	pubSub := &PubSub{topics: make(map[string]*topicQueue, len(topics)), closed: make(chan struct{})}
	for _, topic := range topics {
		pubSub.topics[topic.Name] = &topicQueue{
			policy:   topic.Overflow,
			messages: make(chan *message.Message, topic.Capacity),
		}
	}
	return pubSub
}

// Publish implements message.Publisher.
func (p *PubSub) Publish(topic string, messages ...*message.Message) error {
	queue, ok := p.topics[topic]
	if !ok {
		return errors.Annotate(ErrUnknownTopic, topic)
	}
	for _, msg := range messages {
		if err := p.publish(queue, msg); err != nil {
			return err
		}
	}
	return nil
}

// publish adds a message to a queue according to the policy of the queue.
func (p *PubSub) publish(queue *topicQueue, msg *message.Message) error {
	if queue.policy == Drop {
		select {
		case queue.messages <- msg:
		default:
			queue.dropped.Add(1)
		}
		return nil
	}
	select {
	case queue.messages <- msg:
		return nil
	case <-p.closed:
		return ErrClosed
	}
}

// Subscribe implements message.Subscriber.
func (p *PubSub) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	queue, ok := p.topics[topic]
	if !ok {
		return nil, errors.Annotate(ErrUnknownTopic, topic)
	}
	out := make(chan *message.Message)
	go p.deliver(ctx, queue, out)
	return out, nil
}

// deliver sends the messages of a queue to out until ctx ends or the PubSub is closed.
func (p *PubSub) deliver(ctx context.Context, queue *topicQueue, out chan<- *message.Message) {
	defer close(out)
	for {
		select {
		case msg := <-queue.messages:
			if !p.deliverOne(ctx, msg, out) {
				return
			}
		case <-ctx.Done():
			return
		case <-p.closed:
			return
		}
	}
}

// deliverOne sends one message to out and sends it again after each negative
// acknowledgement. It returns false if ctx ends or the PubSub is closed first.
func (p *PubSub) deliverOne(ctx context.Context, msg *message.Message, out chan<- *message.Message) bool {
	for {
		attempt := msg.Copy()
		attempt.SetContext(ctx)
		select {
		case out <- attempt:
		case <-ctx.Done():
			return false
		case <-p.closed:
			return false
		}
		select {
		case <-attempt.Acked():
			return true
		case <-attempt.Nacked():
		case <-ctx.Done():
			return false
		case <-p.closed:
			return false
		}
	}
}

// Dropped returns the number of messages of a topic that were discarded because its
// queue was full. It returns 0 for an unknown topic.
func (p *PubSub) Dropped(topic string) uint64 {
	queue, ok := p.topics[topic]
	if !ok {
		return 0
	}
	return queue.dropped.Load()
}

// Close implements message.Publisher and message.Subscriber.
func (p *PubSub) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}
