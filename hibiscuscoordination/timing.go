package hibiscuscoordination

import "time"

// Timing relates a message to the clock of its receiver without a common time of day: both ends stamp what they send, and return
// the highest stamp that they have received. A message that was held up on its way, or in a suspended process, is thus recognized
// by the process that it was meant for, with its own clock.
//
// An agent acts on a message only as of the time that this proves: see permissionDuration.
type Timing struct {
	sent time.Duration
	echo time.Duration
	held time.Duration
}

// NewTiming returns the timing of a message: sent is the sender's stamp, echo the highest stamp that it had received, and held how long
// before its decision it had received that. Stamps are times since the session opened, above zero; a zero echo means that no stamp
// had been received.
func NewTiming(sent, echo, held time.Duration) Timing {
	return Timing{sent: sent, echo: echo, held: held}
}

// Sent returns the stamp of the sender, zero for none.
func (t Timing) Sent() time.Duration { return t.sent }

// Echo returns the highest stamp that the sender had received, zero for none.
func (t Timing) Echo() time.Duration { return t.echo }

// Held returns the time between the receipt of that stamp and the decision that the message carries.
func (t Timing) Held() time.Duration { return t.held }

// WithTiming returns the message with its timing on the wire.
func (m Message) WithTiming(t Timing) Message {
	m.timing = t
	return m
}

// Timing returns the timing of the message on the wire.
func (m Message) Timing() Timing { return m.timing }

// WithDecidedAt returns the message with the time of the decision that it carries, on the sender's clock; without it, that is the time
// at which the message is queued.
func (m Message) WithDecidedAt(now time.Time) Message {
	m.decidedAt = now
	return m
}

// DecidedAt returns the time of the decision that the message carries, the zero time if it has none of its own.
func (m Message) DecidedAt() time.Time { return m.decidedAt }

// WithOrigin returns a received message with what its timing says on the receiver's clock: when the receiver sent what the message
// echoes, and the earliest time at which the sender can have made its decision. Both are zero when the message has no echo.
func (m Message) WithOrigin(echoedAt, decidedAfter time.Time) Message {
	m.echoedAt, m.decidedAfter = echoedAt, decidedAfter
	return m
}

// EchoedAt returns when the receiver sent what the message echoes, the zero time if it echoes nothing.
func (m Message) EchoedAt() time.Time { return m.echoedAt }

// DecidedAfter returns the earliest time at which the sender can have made its decision, the zero time if that is unknown.
func (m Message) DecidedAfter() time.Time { return m.decidedAfter }
