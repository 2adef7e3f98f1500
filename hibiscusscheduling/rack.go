package hibiscusscheduling

import "time"

// Placement of a task that names the rack of its data. In another rack it takes a multiple of the time.

//go:generate stringer -type=RackChoice -linecomment -output=rack_string.go

// RackChoice is the decision on a task that names a rack.
type RackChoice int

// The decisions on a task that names a rack.
const (
	// RackElsewhere means that the task is placed like any other, with its run time in other racks.
	RackElsewhere RackChoice = iota // elsewhere
	// RackLocal means that the task goes to its rack.
	RackLocal // local
	// RackWait means that the task waits for its rack.
	RackWait // wait
)

// ChooseRack decides on a task that names a rack and has waited for some time, given the best worker of its rack and the best free worker
// of the others.
//
// It handles a burst of jobs that all name one rack: each waits for it until another rack completes it sooner, and no longer than it gains
// by its rack, as the expected wait may be wrong.
func ChooseRack(left TimeLeft, waited time.Duration, local, elsewhere Candidate) RackChoice {
	if local.free {
		if !elsewhere.free || local.runTime <= elsewhere.runTime || local.endsInTime(left) {
			return RackLocal
		}
		return RackElsewhere
	}
	gain := elsewhere.runTime - local.runTime
	if !elsewhere.free || waited >= gain || local.wait >= gain {
		return RackElsewhere
	}
	if local.wait+local.runTime > left.due && elsewhere.endsInTime(left) {
		return RackElsewhere
	}
	return RackWait
}
