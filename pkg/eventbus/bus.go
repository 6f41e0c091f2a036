package eventbus

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"
)

// Bus combines a PubSub with the watermill router that runs the event handlers.
type Bus struct {
	pubSub *PubSub
	router *message.Router
}

// New returns a bus with the given topics. Add handlers before calling Run.
func New(topics ...Topic) (*Bus, error) {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Bus{pubSub: NewPubSub(topics...), router: router}, nil
}

// Run runs the handlers until ctx ends, then closes the bus.
func (b *Bus) Run(ctx context.Context) error {
	defer func() { _ = b.pubSub.Close() }()
	return errors.Trace(b.router.Run(ctx))
}

// Dropped returns the number of events of a topic that were discarded because its
// queue was full.
func (b *Bus) Dropped(topic string) uint64 {
	return b.pubSub.Dropped(topic)
}

// Publish publishes an event, encoded as JSON, on a topic.
func Publish[T any](b *Bus, topic string, event T) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return errors.Trace(err)
	}
	return b.pubSub.Publish(topic, message.NewMessage("", payload))
}

// Handle adds the handler for the events of a topic. The handler panics on a message
// that cannot be decoded: only this process publishes messages, so such a message is a
// programming error.
func Handle[T any](b *Bus, topic string, handle func(T)) {
	b.router.AddConsumerHandler(topic, topic, b.pubSub, func(msg *message.Message) error {
		var event T
		if err := json.Unmarshal(msg.Payload, &event); err != nil {
			panic(errors.Annotatef(err, "decoding an event on topic %q", topic))
		}
		handle(event)
		return nil
	})
}
