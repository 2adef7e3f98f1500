package hibiscusprocess

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestLeaseFrozenEntry guards against late starts for an entry that was paused beyond its lease and the deadline while its orders
// were in flight. Afterwards the entry accepts jobs again.
func TestLeaseFrozenEntry(t *testing.T) {
	runSession(t, "lease_frozen_entry", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		body := `{"deadline_ms":1500,` + listSyncJob(2, 100)[1:]
		wait := d.background(func() { d.submit("caller", "10.0.1.1", key, body) })
		time.Sleep(700 * time.Microsecond)
		d.note("10.0.1.1 is paused with its orders in flight")
		d.nodes["10.0.1.1"].host.Freeze(true)
		time.Sleep(2200 * time.Millisecond)
		d.note("10.0.1.1 resumes")
		d.nodes["10.0.1.1"].host.Freeze(false)
		wait()
		time.Sleep(time.Second)
		d.submit("caller", "10.0.1.1", d.key("10.0.1.1", "key-2"), body)
	})
}

// TestLeaseShortPause guards against tasks that are lost or started twice when an entry is paused for less than its lease.
func TestLeaseShortPause(t *testing.T) {
	runSession(t, "lease_short_pause", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		wait := d.background(func() { d.submit("caller", "10.0.1.1", key, listSyncJob(6, 300)) })
		time.Sleep(700 * time.Microsecond)
		for range 3 {
			d.nodes["10.0.1.1"].host.Freeze(true)
			time.Sleep(700 * time.Millisecond)
			d.nodes["10.0.1.1"].host.Freeze(false)
			time.Sleep(20 * time.Millisecond)
		}
		wait()
	})
}

// TestLeaseTwoEntries guards against two entries that use the same slot: the observer fails the test when an endpoint has more
// tasks than slots. Both entries send tasks to both workers, and each is paused in turn.
func TestLeaseTwoEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startProcesses(2, 2)
		var waits []func()
		for i := range 40 {
			entry := []string{"10.0.1.1", "10.0.1.2"}[i%2]
			key := d.key(entry, "key")
			waits = append(waits, d.background(func() { d.submit("caller", entry, key, listSyncJob(3, 60)) }))
			if i%10 == 9 {
				d.nodes[entry].host.Freeze(true)
				time.Sleep(2100 * time.Millisecond)
				d.nodes[entry].host.Freeze(false)
			}
		}
		for _, wait := range waits {
			wait()
		}
		d.close()
		convey.Convey("most jobs complete despite the pauses", t, func() {
			convey.So(d.observer.counts()["job complete"], convey.ShouldBeGreaterThan, 20)
		})
	})
}
