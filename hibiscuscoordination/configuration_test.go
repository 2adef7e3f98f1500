package hibiscuscoordination

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// TestAgentIgnoresLowerVersion guards against an agent that applies a lower version, and one that does not answer every
// version with the one in force.
func TestAgentIgnoresLowerVersion(t *testing.T) {
	Convey("An agent receives versions out of order", t, func() {
		a := NewAgent(NewIdentity(1, "10.0.2.1:7300", "a"), nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
		var reported []uint64
		entry := NewPeer(NewHello(RoleEntry, 2, "10.0.1.1:7200", "a", 0, Capacity{}), func(m Message) bool {
			reported = append(reported, m.Version())
			return true
		}, func() {})
		a.entries[2] = entry
		for _, version := range []uint64{2, 3, 1, 3, 4} {
			a.configure(time.Now(), entry, hibiscusstate.NewConfiguration(version, "", nil))
		}
		So(reported, ShouldResemble, []uint64{2, 3, 3, 3, 4})
	})
}

// configurationMesh is a full mesh of entries and agents whose messages are delivered at once; it counts the configurations that each
// process receives and sends.
type configurationMesh struct {
	now      time.Time
	entries  []*Entry
	agents   []*Agent
	received map[hibiscusstate.Incarnation]int
	sent     map[hibiscusstate.Incarnation]int
	// reports counts the versions that each process has reported.
	reports map[hibiscusstate.Incarnation]int
	queue   []func()
	// lost makes the next configuration get lost.
	lost bool
}

func newConfigurationMesh(entries, agents, revision int) *configurationMesh {
	m := &configurationMesh{
		now: time.Unix(1_000_000, 0), received: map[hibiscusstate.Incarnation]int{}, sent: map[hibiscusstate.Incarnation]int{},
		reports: map[hibiscusstate.Incarnation]int{},
	}
	log := slog.New(slog.DiscardHandler)
	for i := range entries {
		id := hibiscusstate.Incarnation(i + 1)
		m.entries = append(m.entries, NewEntry(NewIdentity(id, fmt.Sprintf("10.0.1.%d:7200", i+1), "a"), func(Event) {}, log))
	}
	for i := range agents {
		id := hibiscusstate.Incarnation(1000 + i)
		m.agents = append(m.agents, NewAgent(NewIdentity(id, fmt.Sprintf("10.0.2.%d:7300", i+1), "a"), nil, log))
	}
	for _, e := range m.entries {
		for _, other := range m.entries {
			if other != e {
				m.connect(e.identity, RoleEntry, other.identity, RoleEntry, revision)
			}
		}
		for _, a := range m.agents {
			m.connect(e.identity, RoleEntry, a.identity, RoleAgent, revision)
			m.connect(a.identity, RoleAgent, e.identity, RoleEntry, ProtocolRevision)
		}
	}
	m.deliver()
	return m
}

// connect opens the session of one process to another, as the first one sees it; revision is that of the other one.
func (m *configurationMesh) connect(own Identity, role Role, other Identity, otherRole Role, revision int) {
	hello := NewHello(otherRole, other.incarnation, other.address, "a", 0, Capacity{}).WithRevision(revision)
	p := NewPeer(hello, func(message Message) bool {
		m.queue = append(m.queue, func() { m.receive(own, role, other, message) })
		return true
	}, func() {})
	for _, e := range m.entries {
		if e.identity == own {
			e.peerUp(m.now, p)
		}
	}
	for _, a := range m.agents {
		if a.identity == own {
			a.entries[other.incarnation] = p
			a.manager.EntryUp(m.now, other.incarnation)
			a.exchangeVersions(m.now, p)
		}
	}
}

// receive delivers a message that the process from has sent.
func (m *configurationMesh) receive(from Identity, fromRole Role, to Identity, message Message) {
	if message.Kind() == MessageConfiguration {
		if m.lost {
			m.lost = false
			return
		}
		m.received[to.incarnation]++
		m.sent[from.incarnation]++
	}
	if message.Kind() == MessageInForce {
		m.reports[from.incarnation]++
	}
	for _, e := range m.entries {
		if e.identity != to {
			continue
		}
		if fromRole == RoleAgent {
			e.peerMessage(m.now, e.agents[from.incarnation], message)
		} else {
			e.peerMessage(m.now, e.peers[from.incarnation][0], message)
		}
	}
	for _, a := range m.agents {
		if a.identity == to {
			a.peerMessage(m.now, a.entries[from.incarnation], message)
		}
	}
}

func (m *configurationMesh) deliver() {
	for len(m.queue) > 0 {
		next := m.queue[0]
		m.queue = m.queue[1:]
		next()
	}
}

// run advances the time in steps of 10 ms.
func (m *configurationMesh) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(step)
		for _, e := range m.entries {
			e.afterBatch(m.now)
		}
		for _, a := range m.agents {
			a.afterBatch(m.now)
		}
		m.deliver()
	}
}

// apply makes an entry apply a version that it has read from the table.
func (m *configurationMesh) apply(e *Entry, version uint64) {
	c := hibiscusstate.NewConfiguration(version, "", hibiscusstate.NewDocument(nil, nil))
	if e.applyConfiguration(m.now, c, "table") {
		e.pushConfiguration()
	}
	m.deliver()
}

// lacking returns how many processes do not have a version in force.
func (m *configurationMesh) lacking(version uint64) int {
	n := 0
	for _, e := range m.entries {
		if e.version() != version {
			n++
		}
	}
	for _, a := range m.agents {
		if a.version() != version {
			n++
		}
	}
	return n
}

func most(counts map[hibiscusstate.Incarnation]int) int {
	n := 0
	for _, count := range counts {
		n = max(n, count)
	}
	return n
}

// TestVersionIsFetchedOnce guards against a version that several entries send to the same process, and against an entry that sends it
// to most processes: with 14 entries, 90 processes and 350 queues, the copies filled the links and the memory of the agents.
func TestVersionIsFetchedOnce(t *testing.T) {
	const entries, agents = 6, 60
	Convey("All entries read a version at the same moment", t, func() {
		m := newConfigurationMesh(entries, agents, ProtocolRevision)
		for _, e := range m.entries {
			m.apply(e, 3)
		}
		m.run(100 * time.Millisecond)
		So(m.lacking(3), ShouldEqual, 0)
		So([]int{len(m.received), most(m.received)}, ShouldResemble, []int{agents, 1})
		So(most(m.sent), ShouldBeLessThanOrEqualTo, 2*agents/entries)
	})
	Convey("Only one entry reads it from the table", t, func() {
		m := newConfigurationMesh(entries, agents, ProtocolRevision)
		for _, e := range m.entries {
			m.apply(e, 3)
		}
		m.run(100 * time.Millisecond)
		clear(m.received)
		clear(m.sent)
		m.apply(m.entries[0], 4)
		m.run(time.Second)
		So(m.lacking(4), ShouldEqual, 0)
		So([]int{len(m.received), most(m.received)}, ShouldResemble, []int{agents + entries - 1, 1})
		So(most(m.sent), ShouldBeLessThanOrEqualTo, 2*agents/entries+entries-1)
	})
	Convey("A copy is lost, and the next process is asked", t, func() {
		m := newConfigurationMesh(entries, agents, ProtocolRevision)
		m.lost = true
		for _, e := range m.entries {
			m.apply(e, 3)
		}
		m.run(2 * time.Second)
		So(m.lacking(3), ShouldEqual, 0)
		So(most(m.received), ShouldEqual, 1)
	})
	Convey("A copy of the only entry is lost, and it is asked again", t, func() {
		m := newConfigurationMesh(1, 5, ProtocolRevision)
		m.lost = true
		m.apply(m.entries[0], 3)
		m.run(2 * time.Second)
		So(m.lacking(3), ShouldEqual, 0)
		So(most(m.received), ShouldEqual, 1)
	})
	Convey("All entries restart without the table, and an agent gives the version back", t, func() {
		m := newConfigurationMesh(entries, agents, ProtocolRevision)
		m.agents[7].configure(m.now, m.agents[7].entries[1], hibiscusstate.NewConfiguration(5, "", hibiscusstate.NewDocument(nil, nil)))
		m.deliver()
		m.run(2 * time.Second)
		So(m.lacking(5), ShouldEqual, 0)
		So(most(m.received), ShouldEqual, 1)
	})
}

// TestVersionsInQuickSuccession guards against processes that report each of many versions to all others: with 55 entries and 240 agents,
// an entry sent 294 messages for each of 25 versions within 2 s, and received as many.
func TestVersionsInQuickSuccession(t *testing.T) {
	const (
		entries, agents = 6, 60
		versions        = 25
		gap             = 80 * time.Millisecond
	)
	m := newConfigurationMesh(entries, agents, ProtocolRevision)
	m.run(time.Second)
	clear(m.reports)
	var lines []string
	for version := uint64(1); version <= versions; version++ {
		for _, e := range m.entries {
			m.apply(e, version)
		}
		m.run(gap)
	}
	began := m.now
	for m.lacking(versions) > 0 && m.now.Sub(began) < 10*time.Second {
		m.run(10 * time.Millisecond)
	}
	lines = append(lines, fmt.Sprintf("the last of %d versions is in force everywhere after %v", versions, m.now.Sub(began)+gap))
	m.run(2 * time.Second)
	lines = append(lines,
		fmt.Sprintf("an entry has sent %d reports to each process", m.reports[m.entries[0].identity.incarnation]/(entries-1+agents)),
		fmt.Sprintf("an agent has sent %d reports to each entry", m.reports[m.agents[0].identity.incarnation]/entries))
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "versions_in_quick_succession", []byte(strings.Join(lines, "\n")+"\n"))
}

// TestVersionIsPushedToEarlierRevisions guards against processes of an earlier release that never get a version, because they do not
// fetch, or that end their sessions because they are asked for one.
func TestVersionIsPushedToEarlierRevisions(t *testing.T) {
	Convey("Agents and other entries are of an earlier revision", t, func() {
		m := newConfigurationMesh(2, 4, 0)
		m.apply(m.entries[0], 3)
		So([]int{len(m.received), most(m.received)}, ShouldResemble, []int{5, 1})
		for _, a := range m.agents {
			a.configuration = nil
		}
		m.entries[0].agents[1000].version = 0
		m.entries[0].pushConfiguration()
		m.deliver()
		So(m.agents[0].version(), ShouldEqual, 3)
	})
}
