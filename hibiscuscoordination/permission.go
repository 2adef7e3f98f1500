package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// An agent runs the tasks of a named job only while their entry permits it. Every message of an entry echoes the last stamp that it
// has received from the agent (Timing), and permits its tasks for permissionDuration from the time of that stamp, on the agent's
// clock; an order permits its own task for as long from the time at which the entry decided on it. So a message that was held up
// permits nothing that its entry no longer counts on: an entry that last heard of an agent at some time knows that the agent has
// stopped its tasks permissionDuration later, whatever the network has delivered since, in which direction it works, and which
// end has noticed the loss of the session.

const (
	// permissionDuration is how long an agent runs the tasks of an entry after it sent what the entry echoed last. A client whose
	// connection broke submits its job again 1.3 s later, and by then a stop, which takes 50 ms, must have ended the runs.
	permissionDuration = 1200 * time.Millisecond
	// permissionRenewal is the age of a permission at which an agent with tasks of the entry asks for the next one.
	permissionRenewal = 400 * time.Millisecond
	// stopSlack is how late an agent may be when it stops tasks whose permission has ended.
	stopSlack = 100 * time.Millisecond
)

// RenewPermission extends the permission of an entry's tasks: it has echoed what this agent sent at echoedAt. A zero time is from an
// entry that echoes nothing, an earlier build; its messages then count from their arrival.
func (s *SlotManager) RenewPermission(now time.Time, entry hibiscusstate.Incarnation, echoedAt time.Time) {
	if echoedAt.IsZero() {
		echoedAt = now
	}
	if c := s.entryState(entry); echoedAt.After(c.permittedAt) {
		c.permittedAt, c.permissionEnded = echoedAt, false
	}
}

// renewPermissions asks the connected entries with restartable tasks here for an echo before their permission ends.
func (s *SlotManager) renewPermissions(now time.Time) {
	for id, c := range s.entries {
		if due := s.renewalDue(c); !due.IsZero() && !now.Before(due) {
			c.permissionRequestedAt = now
			s.send(id, NewPingMessage())
		}
	}
}

// renewalDue returns when an entry has to be asked for the next echo, the zero time for never.
func (s *SlotManager) renewalDue(c *entryState) time.Time {
	if !c.connected || c.restartable == 0 {
		return time.Time{}
	}
	from := c.permittedAt
	if c.permissionRequestedAt.After(from) {
		from = c.permissionRequestedAt
	}
	return from.Add(permissionRenewal)
}

// nextPermissionDue returns when the next permission has to be renewed or ends, the zero time for never.
func (s *SlotManager) nextPermissionDue(now time.Time) time.Time {
	var next time.Time
	for _, c := range s.entries {
		next = earliest(next, s.renewalDue(c))
	}
	for _, list := range [][]*hibiscusstate.AgentTask{s.waiting, s.slots} {
		for _, t := range list {
			if t == nil || !t.Order().Restartable() {
				continue
			}
			if until := s.permittedUntil(t); until.After(now) {
				next = earliest(next, until)
			}
		}
	}
	return next
}
