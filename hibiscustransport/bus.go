package hibiscustransport

import (
	"context"
	"log/slog"
	"strings"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The Bus delivers the events of one process from their publishers to their subscribers, over watermill.
//
// A publisher must not block, so Publish puts events on a bounded ring, and a goroutine of the bus passes them to watermill one at
// a time and waits until the subscriber has acknowledged each. Without that wait, watermill's in-memory channel starts a goroutine
// for each undelivered message, without bound.

const (
	eventTopic = "events"
	// busCapacity is sufficient for the loss of a failure domain, when a quarter of 920 workers leave at once.
	busCapacity = 1024

	metadataKind  = "kind"
	metadataCause = "cause"
)

// Bus is safe for concurrent use.
type Bus struct {
	ring   *hibiscusstate.Ring[hibiscuscoordination.Event]
	pubsub *gochannel.GoChannel
	log    *slog.Logger
}

// NewBus returns a bus without subscribers.
func NewBus(log *slog.Logger) *Bus {
	return &Bus{
		ring:   hibiscusstate.NewRing[hibiscuscoordination.Event](busCapacity),
		pubsub: gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		log:    log,
	}
}

// Publish queues an event without blocking; it returns false and counts a drop when the ring is full.
func (b *Bus) Publish(event hibiscuscoordination.Event) bool { return b.ring.TryPush(event) }

// Dropped returns the number of events that were dropped because the ring was full.
func (b *Bus) Dropped() uint64 { return b.ring.Dropped() }

// Subscribe returns a function, to be run in a goroutine, that passes each event to a handler until Run has returned; call it
// before Run.
func (b *Bus) Subscribe(handle func(hibiscuscoordination.Event)) (func(), error) {
	messages, err := b.pubsub.Subscribe(context.Background(), eventTopic)
	if err != nil {
		return nil, errors.Wrap(err, "subscribe to events")
	}
	return func() {
		for m := range messages {
			if event, ok := eventOf(m); ok {
				handle(event)
			}
			m.Ack()
		}
	}, nil
}

// Run delivers events until Stop was called and all queued events are delivered; then it ends the subscriptions.
func (b *Bus) Run() {
	for {
		event, err := b.ring.Pop()
		if err != nil {
			break
		}
		if err := b.pubsub.Publish(eventTopic, messageOfEvent(event)); err != nil {
			b.log.Error("audit: event lost", "kind", event.Kind().String(), "cause", err.Error())
		}
	}
	if err := b.pubsub.Close(); err != nil {
		b.log.Error("audit: bus did not close", "cause", err.Error())
	}
}

// Stop closes the bus; events that are already queued are still delivered.
func (b *Bus) Stop() { b.ring.Close() }

// messageOfEvent copies the strings of an event: a subject may refer to a frame, whose larger buffer it would keep in memory.
func messageOfEvent(event hibiscuscoordination.Event) *message.Message {
	m := message.NewMessage(watermill.NewULID(), []byte(event.Subject()))
	m.Metadata.Set(metadataKind, event.Kind().String())
	m.Metadata.Set(metadataCause, strings.Clone(event.Cause()))
	return m
}

func eventOf(m *message.Message) (hibiscuscoordination.Event, bool) {
	for kind := hibiscusstate.EventConfigurationAccepted; kind <= hibiscusstate.EventProcessStopped; kind++ {
		if kind.String() == m.Metadata.Get(metadataKind) {
			return hibiscuscoordination.NewEvent(kind, string(m.Payload), m.Metadata.Get(metadataCause)), true
		}
	}
	return hibiscuscoordination.Event{}, false
}
