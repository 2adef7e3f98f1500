package hibiscuscapacity

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
)

const (
	pathConfiguration = "services:\n  - name: sighting\n    kinds:\n      - {name: plausibility_check, run_ms: 1, deadline_ms: 5000}\n" +
		"teams:\n  - {name: nokkhao, share: 60, max_queued: 100000}\n"
	pathTopic = "submissions"
)

// inProcessPath is the path of a task through an entry and an agent in this process. Messages between them are encoded to frames and
// decoded, but not sent over a socket. answers receives the answer of the one submission in flight.
type inProcessPath struct {
	b       *testing.B
	entry   *hibiscuscoordination.Entry
	answers *hibiscusstate.Ring[*hibiscuscoordination.Answer]
}

func newInProcessPath(b *testing.B) *inProcessPath {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	identity := func(i hibiscusstate.Incarnation) hibiscuscoordination.Identity {
		return hibiscuscoordination.NewIdentity(i, "127.0.0.1:1", "a")
	}
	p := &inProcessPath{b: b, answers: hibiscusstate.NewRing[*hibiscuscoordination.Answer](1)}
	p.entry = hibiscuscoordination.NewEntry(identity(1), func(hibiscuscoordination.Event) {}, log)
	agent := hibiscuscoordination.NewAgent(identity(2), AgentsSettings{}.execute, log)
	document, err := hibiscusprotocol.ParseConfiguration("path", []byte(pathConfiguration))
	p.must(err)
	go p.entry.Run()
	go agent.Run()
	b.Cleanup(func() { p.entry.Stop(); agent.Stop() })
	p.must(p.entry.Configure(hibiscusstate.NewConfiguration(1, pathConfiguration, document)))
	p.must(agent.Announce("sighting", hibiscusstate.NewResources(8, 0, 0)))
	var toAgent, toEntry *hibiscuscoordination.Peer
	toAgent = hibiscuscoordination.NewPeer(agent.Hello(), p.codecLink(func(m hibiscuscoordination.Message) error {
		return agent.PeerMessage(toEntry, m)
	}), func() {})
	toEntry = hibiscuscoordination.NewPeer(p.entry.Hello(), p.codecLink(func(m hibiscuscoordination.Message) error {
		return p.entry.PeerMessage(toAgent, m)
	}), func() {})
	p.must(p.entry.PeerUp(toAgent))
	p.must(agent.PeerUp(toEntry))
	for p.submitAndWait(p.submission()).Refusal() == hibiscusstate.RefusalNoWorkers {
		// The agent's first capacity message is in flight; each submission waits for the entry.
		continue
	}
	return p
}

func (p *inProcessPath) must(err error) {
	p.b.Helper()
	if err != nil {
		p.b.Fatal(err)
	}
}

// codecLink returns a send function that encodes a message to a frame, decodes it and delivers the result.
func (p *inProcessPath) codecLink(deliver func(hibiscuscoordination.Message) error) func(hibiscuscoordination.Message) bool {
	return func(m hibiscuscoordination.Message) bool {
		frame, err := hibiscusprotocol.EncodeFrame(nil, m)
		p.must(err)
		decoded, err := hibiscusprotocol.DecodeFrame(frame)
		p.must(err)
		return deliver(decoded) == nil
	}
}

func (p *inProcessPath) submission() *hibiscuscoordination.Submission {
	keys, err := p.entry.IssueKeys(1)
	p.must(err)
	task := hibiscusstate.NewTaskSpec("plausibility_check", []byte(`{"species":"Pitta gurneyi"}`), 0)
	return hibiscuscoordination.NewSubmission(keys[0], 1, "nokkhao", "sighting", []hibiscusstate.TaskSpec{task}).WithWait(time.Second)
}

// submitAndWait submits one task and waits for its answer.
func (p *inProcessPath) submitAndWait(s *hibiscuscoordination.Submission) *hibiscuscoordination.Answer {
	p.must(p.entry.Submit(s, func(a *hibiscuscoordination.Answer) { p.answers.TryPush(a) }))
	return p.answer()
}

func (p *inProcessPath) answer() *hibiscuscoordination.Answer {
	a, err := p.answers.Pop()
	p.must(err)
	return a
}

func (p *inProcessPath) check(a *hibiscuscoordination.Answer) {
	if a.State() != hibiscusstate.JobComplete || a.Refusal() != hibiscusstate.RefusalNone {
		p.b.Fatalf("job is %v, refusal %v", a.State(), a.Refusal())
	}
}

// BenchmarkPath measures the path of one task, from its submission to the answer, without sockets: directly, and with one
// watermill hop between the caller and the entry.
func BenchmarkPath(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		p := newInProcessPath(b)
		for b.Loop() {
			p.check(p.submitAndWait(p.submission()))
		}
	})
	b.Run("watermill_hop", func(b *testing.B) {
		p := newInProcessPath(b)
		bus := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: 64}, watermill.NopLogger{})
		messages, err := bus.Subscribe(context.Background(), pathTopic)
		p.must(err)
		b.Cleanup(func() { _ = bus.Close() })
		// Only one submission is in flight at a time, so this ring carries it, and no encoding is added to the cost of watermill.
		submissions := hibiscusstate.NewRing[*hibiscuscoordination.Submission](1)
		go func() {
			for m := range messages {
				s, err := submissions.Pop()
				if err == nil {
					err = p.entry.Submit(s, func(a *hibiscuscoordination.Answer) { p.answers.TryPush(a) })
				}
				if err != nil {
					b.Error(err)
				}
				m.Ack()
			}
		}()
		for b.Loop() {
			submissions.TryPush(p.submission())
			p.must(bus.Publish(pathTopic, message.NewMessage(watermill.NewUUID(), nil)))
			p.check(p.answer())
		}
	})
}
