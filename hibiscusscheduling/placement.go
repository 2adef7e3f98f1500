package hibiscusscheduling

import "time"

// Placement of a task where workers differ in speed: by its expected end on the best worker of each speed class, compared with the time
// when its job is due.

const (
	// MaxSpeedClasses bounds the speed classes of a service, from a relative speed of minRelativeSpeed to maxRelativeSpeed.
	MaxSpeedClasses = 8
	// A task ends in time on a worker if it would end before it is due when it took runTimeMargin times as long as expected.
	runTimeMargin = 1.3
	// roomFraction is the free fraction of the slots of the fastest workers above which they have room. While they have, a task goes to a
	// worker that is slower by more than slowRatio only as a sample. Of the tasks, 3% are seven times as long as expected: of the jobs of
	// eight tasks a fifth has such a task, and is late if that task runs on a worker of half the speed.
	roomFraction = 0.1
	slowRatio    = 1.35
	// reservedFraction is the fraction of the slots of a slower worker that stays free while a faster one has room. The view of the entries
	// is some milliseconds old; where all of them filled the slow workers to the last slot, orders were rejected.
	reservedFraction = 0.1
	// sampleInterval is the number of tasks of which one goes to the fastest workers although slower ones would do, or the reverse. It keeps
	// the mean run time of a kind known on the workers that set it, and the speed of workers that get no other task.
	sampleInterval = 32
)

// Candidate is the best worker of a speed class for a task.
type Candidate struct {
	runTime      time.Duration
	free         bool
	freeFraction float64
	wait         time.Duration
}

// FreeCandidate returns a worker that has room for the task, on which it is expected to take runTime, and of whose slots freeFraction
// would stay free.
func FreeCandidate(runTime time.Duration, freeFraction float64) Candidate {
	return Candidate{runTime: runTime, free: true, freeFraction: freeFraction}
}

// BusyCandidate returns a class whose workers have no room for the task at present and are expected to have some after wait.
func BusyCandidate(runTime, wait time.Duration) Candidate {
	return Candidate{runTime: runTime, wait: wait}
}

// Choice is the decision on a task.
type Choice struct {
	index  int
	placed bool
	held   bool
}

// Placed returns the index of the candidate that the task goes to, and whether it goes to one.
func (c Choice) Placed() (index int, ok bool) { return c.index, c.placed }

// Held reports whether the task waits for a faster worker although slower ones have room; other tasks pass it.
func (c Choice) Held() bool { return c.held }

// Placer decides on the tasks of one service.
type Placer struct {
	decided uint64
}

// TimeLeft is how much time a task has: until its job is due, and until an answer is of no use. Both are negative once they have passed.
type TimeLeft struct {
	due    time.Duration
	expiry time.Duration
}

// NewTimeLeft returns the time that a task has until its job is due and until an answer is of no use.
func NewTimeLeft(due, expiry time.Duration) TimeLeft { return TimeLeft{due: due, expiry: expiry} }

// Choose decides on a task. The candidates are ordered from the slowest class to the fastest one, of whose slots fastestFree are free over
// all its workers.
//
// It handles a load of short and long tasks on workers of which a quarter has half the speed. While the fastest workers have room, a task
// goes to the emptiest worker of about their speed on which it ends in time. Otherwise a task with slack goes to the slowest class on which
// it ends in time, so that the fast workers are free for the others. One that ends in time on none of the free workers waits for a faster
// one as long as it would still be in time there. After that it goes to the one where it ends first, unless its answer would be of no use
// from there and a faster one can have it earlier.
func (p *Placer) Choose(left TimeLeft, fastestFree float64, candidates []Candidate) Choice {
	p.decided++
	sample := p.decided%sampleInterval == 0
	index := -1
	if (fastestFree >= roomFraction) != sample {
		index = chooseEmptiest(left, candidates)
	}
	if index < 0 {
		index = chooseSlowest(left, candidates)
	}
	if index < 0 {
		return chooseEarliest(left, candidates)
	}
	return Choice{index: index, placed: true}
}

// endsInTime reports whether a task has room on a worker and ends in time there.
func (c *Candidate) endsInTime(left TimeLeft) bool {
	return c.free && time.Duration(runTimeMargin*float64(c.runTime)) <= left.due
}

// chooseEmptiest returns the emptiest candidate that is about as fast as the fastest one and on which the task ends in time, -1 for none.
func chooseEmptiest(left TimeLeft, candidates []Candidate) int {
	best := -1
	fastest := &candidates[len(candidates)-1]
	for i := len(candidates) - 1; i >= 0; i-- {
		c := &candidates[i]
		if float64(c.runTime) > slowRatio*float64(fastest.runTime) {
			break
		}
		if c.endsInTime(left) && (best < 0 || c.freeFraction > candidates[best].freeFraction) {
			best = i
		}
	}
	return best
}

// chooseSlowest returns the slowest candidate on which the task ends in time, -1 for none. One with little room yields to a faster one.
func chooseSlowest(left TimeLeft, candidates []Candidate) int {
	slowest := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.endsInTime(left) {
			continue
		}
		if c.freeFraction >= reservedFraction {
			return i
		}
		if slowest < 0 || i == len(candidates)-1 {
			slowest = i
		}
	}
	return slowest
}

// chooseEarliest decides on a task that may not end in time: it goes to the fastest free worker, unless it waits for a faster one.
func chooseEarliest(left TimeLeft, candidates []Candidate) Choice {
	inTime, useful := false, false
	for i := len(candidates) - 1; i >= 0; i-- {
		c := candidates[i]
		if c.free {
			if inTime && c.runTime > left.due || useful && c.runTime > left.expiry {
				return Choice{held: true}
			}
			return Choice{index: i, placed: true}
		}
		inTime = inTime || c.wait+c.runTime <= left.due
		useful = useful || c.wait+c.runTime <= left.expiry
	}
	return Choice{}
}
