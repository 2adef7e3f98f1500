package hibiscuscoordination

import (
	"context"
	"log/slog"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Membership discovers entry processes through the table. Each entry has a row with a heartbeat counter. A reader considers an
// entry dead when the counter has not changed for heartbeatLimit of the reader's own clock, so no clocks are compared. Rows serve
// discovery only: a session to an entry that is considered dead stays open, and the last read stays in use while the table is down.

const (
	heartbeatPause = 5 * time.Second
	heartbeatLimit = 15 * time.Second
	// agentReadPause is the interval of an agent's reads while it has sessions, over which it receives member lists.
	// 920 agents x 1 read / 60 s = 15 reads/s.
	agentReadPause = time.Minute
)

// MemberRow is the row of an entry in the table.
type MemberRow struct {
	member  Member
	version uint64
}

// NewMemberRow returns a row with its version in the table.
func NewMemberRow(member Member, version uint64) MemberRow {
	return MemberRow{member: member, version: version}
}

// Member returns the entry that the row describes.
func (r MemberRow) Member() Member { return r.member }

// Version returns the version of the row in the table, zero for a row that does not exist.
func (r MemberRow) Version() uint64 { return r.version }

// livenessTracker decides which members are alive, by when their counters last changed on this process's clock.
type heartbeats struct {
	seen map[hibiscusstate.Incarnation]heartbeat
	gap  bool
}

type heartbeat struct {
	counter uint64
	since   time.Time
}

// observe updates the tracker from a read of all rows and splits them into live and dead ones.
func (h *heartbeats) observe(now time.Time, rows []MemberRow) (live, dead []MemberRow) {
	seen := make(map[hibiscusstate.Incarnation]heartbeat, len(rows))
	for _, r := range rows {
		last, ok := h.seen[r.member.incarnation]
		if !ok || h.gap || last.counter != r.member.heartbeat {
			last = heartbeat{counter: r.member.heartbeat, since: now}
		}
		seen[r.member.incarnation] = last
		if now.Sub(last.since) < heartbeatLimit {
			live = append(live, r)
		} else {
			dead = append(dead, r)
		}
	}
	h.seen, h.gap = seen, false
	return live, dead
}

// markReadFailed makes the next read restart all timeouts. No counter changes while the table is down, so otherwise every member
// would be considered dead at the end of an outage.
func (h *heartbeats) missed() { h.gap = true }

// MembershipSeams are the function fields through which a Membership accesses the table.
type MembershipSeams struct {
	list   func(ctx context.Context) ([]MemberRow, error)
	put    func(ctx context.Context, row MemberRow) error
	remove func(ctx context.Context, row MemberRow) error
}

// NewMembershipSeams returns the callbacks: list reads all rows, put writes a row if it still has the given version, and remove
// deletes it if it does.
func NewMembershipSeams(
	list func(ctx context.Context) ([]MemberRow, error),
	put, remove func(ctx context.Context, row MemberRow) error,
) MembershipSeams {
	return MembershipSeams{list: list, put: put, remove: remove}
}

// Membership reads and writes the membership rows of a process.
type Membership struct {
	seams MembershipSeams
	known heartbeats
	log   *slog.Logger
}

// NewMembership returns the Membership of a process; RunEntry or RunAgent runs it.
func NewMembership(seams MembershipSeams, log *slog.Logger) *Membership {
	return &Membership{seams: seams, log: log}
}

// RunEntry updates the entry's own row, passes the live members to the entry, and removes the rows of dead ones, until ctx is
// done; then it removes its own row.
func (m *Membership) RunEntry(ctx context.Context, e *Entry) {
	var own MemberRow
	for ctx.Err() == nil {
		if row, err := m.beat(ctx, e); err == nil {
			own = row
		} else if ctx.Err() == nil {
			m.known.missed()
			m.log.Warn("membership: table does not answer, known entries stay in use", "cause", err.Error())
		}
		sleep(ctx, heartbeatPause)
	}
	m.leave(own)
}

// updateOwnRow reads all rows and writes the own one with a higher counter; it returns the own row as read.
func (m *Membership) beat(ctx context.Context, e *Entry) (MemberRow, error) {
	rows, err := m.seams.list(ctx)
	if err != nil {
		return MemberRow{}, err
	}
	id := e.identity
	own := NewMemberRow(NewMember(id.incarnation, id.address, id.domain, 0), 0)
	for _, r := range rows {
		if r.member.incarnation == id.incarnation {
			own = r
		}
	}
	live, dead := m.known.observe(time.Now(), rows)
	m.removeDead(ctx, id.incarnation, live, dead)
	if err := e.SetMembers(membersOf(live)); err != nil {
		return own, err
	}
	next := NewMember(id.incarnation, id.address, id.domain, own.member.heartbeat+1)
	return own, m.seams.put(ctx, NewMemberRow(next, own.version))
}

// removeDead deletes the rows of dead entries. Only the live entry with the lowest incarnation does so: of twelve deletes of
// the same row, eleven would be conflicts.
func (m *Membership) removeDead(ctx context.Context, own hibiscusstate.Incarnation, live, dead []MemberRow) {
	for _, r := range live {
		if r.member.incarnation < own {
			return
		}
	}
	for _, r := range dead {
		if r.member.incarnation == own {
			continue
		}
		if err := m.seams.remove(ctx, r); err != nil {
			m.log.Warn("membership: row of a dead entry stays", "address", r.member.address, "cause", err.Error())
			continue
		}
		m.log.Info("membership: row of a dead entry removed", "address", r.member.address)
	}
}

// removeOwnRow removes the own row at a planned stop, so that other processes need not wait for heartbeatLimit.
func (m *Membership) leave(own MemberRow) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rows, err := m.seams.list(ctx)
	for _, r := range rows {
		if r.member.incarnation == own.member.incarnation {
			err = m.seams.remove(ctx, r)
		}
	}
	if err != nil {
		// Another entry removes the row after heartbeatLimit.
		m.log.Info("membership: own row not removed", "cause", err.Error())
	}
}

// RunAgent passes the live entries of the table to the agent until ctx is done.
func (m *Membership) RunAgent(ctx context.Context, a *Agent) {
	for ctx.Err() == nil {
		if rows, err := m.seams.list(ctx); err != nil {
			m.known.missed()
		} else {
			live, _ := m.known.observe(time.Now(), rows)
			if a.setMembers(membersOf(live)) != nil {
				return
			}
		}
		interval := agentReadPause
		if !a.connected() {
			// Without a session no member list arrives; random intervals keep 920 agents from reading at the same time.
			interval = heartbeatPause/2 + randomPart(heartbeatPause)
		}
		sleep(ctx, interval)
	}
}

func membersOf(rows []MemberRow) []Member {
	members := make([]Member, len(rows))
	for i, r := range rows {
		members[i] = r.member
	}
	return members
}

// SetMembers sets the live entries of the table; they stay valid until the next read, also while the table is down.
func (e *Entry) SetMembers(members []Member) error {
	return e.duty.do(func(time.Time) { e.members.table = members })
}

func (a *Agent) setMembers(members []Member) error {
	return a.duty.do(func(time.Time) { a.members.table = members })
}

func (a *Agent) connected() bool {
	connected, err := ask(a.duty, func(time.Time) bool { return len(a.entries) > 0 })
	return err == nil && connected
}
