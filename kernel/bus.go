package kernel

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

// Topic names a kind of control event on the bus.
type Topic string

// busBuffer is the number of events buffered for each subscriber.
const busBuffer = 256

// EventError reports an event that could not be published or decoded.
type EventError struct {
	Topic Topic
	Err   error
}

// Error implements error.
func (e *EventError) Error() string { return fmt.Sprintf("event %s: %v", e.Topic, e.Err) }

// Unwrap returns the cause.
func (e *EventError) Unwrap() error { return e.Err }

// Bus carries control events (configuration applied, host state, server
// verdicts) between the tasks of one process, over a watermill router. It carries
// no requests.
type Bus struct {
	pubsub *gochannel.GoChannel
	router *message.Router
}

// NewBus returns a bus. Handlers are added with Handle before Run.
func NewBus() (*Bus, error) {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return nil, fmt.Errorf("new event router: %w", err)
	}
	pubsub := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBuffer}, watermill.NopLogger{})
	return &Bus{pubsub: pubsub, router: router}, nil
}

// Run delivers events until ctx ends.
func (b *Bus) Run(ctx context.Context) error {
	// A router without handlers does not stop when ctx ends; close it here.
	stop := context.AfterFunc(ctx, func() { _ = b.router.Close() })
	defer stop()
	if err := b.router.Run(ctx); err != nil {
		return fmt.Errorf("event router: %w", err)
	}
	return b.pubsub.Close()
}

// Running is closed once handlers receive events.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// Publish sends an event, encoded as JSON, to the handlers of the topic. Events
// published before Run are lost. Errors are *EventError.
func Publish[T any](b *Bus, topic Topic, event T) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return &EventError{Topic: topic, Err: err}
	}
	msg := message.NewMessage(watermill.NewShortUUID(), payload)
	if err := b.pubsub.Publish(string(topic), msg); err != nil {
		return &EventError{Topic: topic, Err: err}
	}
	return nil
}

// Handle calls fn for every event of a topic. The name must be unique on the
// bus.
func Handle[T any](b *Bus, name string, topic Topic, fn func(T) error) {
	b.router.AddConsumerHandler(name, string(topic), b.pubsub, func(msg *message.Message) error {
		var event T
		if err := json.Unmarshal(msg.Payload, &event); err != nil {
			return &EventError{Topic: topic, Err: err}
		}
		return fn(event)
	})
}
