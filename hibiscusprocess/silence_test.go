package hibiscusprocess

import (
	"testing"
	"time"
)

// Open connections that no longer carry data, and connections that are cut while orders are in flight. Without the watchdog these
// jobs end only at their deadlines; if orders were not reconciled after a reconnect, their tasks would be lost, and if they were
// sent again unconditionally, started twice.

// idleSessionsEnd is long enough for the sessions without tasks to be closed as silent and replaced before the transcript ends.
const idleSessionsEnd = 2 * time.Second

// runSilenceSession runs a session in which the connections to an entry carry no data while tasks run that end during and after
// that time.
func runSilenceSession(t *testing.T, name string, toEntry, toAgents bool) {
	runSession(t, name, func(d *deployment) {
		d.noteSessions.Store(true)
		key := d.key("10.0.1.1", "key-1")
		wait := d.background(func() { d.submit("caller", "10.0.1.1", key, listSyncJob(2, 300)) })
		waitForLong := d.background(func() { d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-2"), listSyncJob(2, 2000)) })
		time.Sleep(100 * time.Millisecond)
		d.note("sessions to 10.0.1.1 go silent")
		d.network.Silence("10.0.1.1:7200", toEntry, toAgents)
		d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-3"), listSyncJob(1, 100))
		wait()
		waitForLong()
		time.Sleep(idleSessionsEnd)
	})
}

// TestSilenceBoth, TestSilenceToEntry and TestSilenceToAgents guard against a silent connection that is not detected within a
// second under traffic, and against tasks that are started twice or lost when it is replaced.
func TestSilenceBoth(t *testing.T) { runSilenceSession(t, "silence_both", true, true) }

func TestSilenceToEntry(t *testing.T) { runSilenceSession(t, "silence_to_entry", true, false) }

func TestSilenceToAgents(t *testing.T) { runSilenceSession(t, "silence_to_agents", false, true) }

// TestSilenceAfterIdle guards against closing a working session as silent when the first tasks follow an idle second, in which
// neither side had anything to send.
func TestSilenceAfterIdle(t *testing.T) {
	runSession(t, "silence_after_idle", func(d *deployment) {
		d.noteSessions.Store(true)
		key := d.key("10.0.1.1", "key")
		for range 40 {
			time.Sleep(3*time.Second + 83*time.Millisecond)
			key = d.nextKey(d.quietly(func() string { return d.submit("caller", "10.0.1.1", key, listSyncJob(1, 50)) }))
		}
	})
}

// TestSilenceBetweenEntries guards against a forwarded submission that is lost, or answered as lost, when the session between its
// two entries goes silent: recovery would seal the key of a job whose entry is still running.
func TestSilenceBetweenEntries(t *testing.T) {
	runSession(t, "silence_between_entries", func(d *deployment) {
		d.noteSessions.Store(true)
		key := d.key("10.0.1.1", "key-1")
		wait := d.background(func() { d.submit("caller 1", "10.0.1.2", key, listSyncJob(12, 400)) })
		time.Sleep(100 * time.Millisecond)
		d.note("all sessions to both entries go silent")
		d.network.Silence("10.0.1.1:7200", true, true)
		d.network.Silence("10.0.1.2:7200", true, true)
		wait()
	})
}

// TestCutWithOrders guards against tasks that are lost or started twice when the connection is cut while their orders are in
// flight, before and after the agent has accepted them.
func TestCutWithOrders(t *testing.T) {
	runSession(t, "cut_with_orders", func(d *deployment) {
		d.noteSessions.Store(true)
		for _, after := range []time.Duration{700 * time.Microsecond, 1200 * time.Microsecond, 50 * time.Millisecond} {
			key := d.key("10.0.1.1", "key "+after.String())
			wait := d.background(func() { d.submit("caller", "10.0.1.1", key, listSyncJob(2, 100)) })
			time.Sleep(after)
			d.note("sessions to 10.0.1.1 are cut")
			d.network.Cut("10.0.1.1:7200")
			wait()
			time.Sleep(settleTime)
		}
	})
}
