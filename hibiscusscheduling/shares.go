package hibiscusscheduling

import (
	"math"
	"slices"
	"time"
)

// Shares tracks which part of the offered work of each flow (a kind, or a team) an entry serves, and says how strict admission is with
// each so that all get the same part.
//
// It handles a shortage that a kind would bear alone because its jobs have less slack, or more work, than the others. Parts are divided by
// weighted max-min fairness: no flow gets a larger part of what it offers at the expense of one with a smaller part, unless its weight
// is higher or the other has its whole demand. A flow that offers less than its minimum share leaves the rest to the others.
type Shares struct {
	flows   []*flow
	byName  map[string]*flow
	updated time.Time
}

// flow is a kind or a team with its offered and served work, as decayed sums.
type flow struct {
	name     string
	weight   float64
	minShare float64
	offered  float64
	served   float64
	target   float64
}

const (
	// sharesDecay is the decay time of the offered and the served work. An entry of the users gets 3 jobs of the rarest kind a second.
	sharesDecay = 2 * time.Second
	// strictnessExponent is how strongly admission corrects a difference between the served part of a flow and its target, and
	// minStrictness and maxStrictness bound the correction.
	strictnessExponent = 6
	minStrictness      = 0.4
	maxStrictness      = 3
	// maxFlows bounds the flows that are tracked; further ones are admitted with ordinary strictness.
	maxFlows = 256
)

// NewShares returns the shares of no flows.
func NewShares() *Shares { return &Shares{byName: map[string]*flow{}} }

// Configure sets the weight of a flow and the part of the capacity that it gets at least, if it offers that much.
func (s *Shares) Configure(name string, weight, minShare float64) {
	if f := s.flow(name); f != nil {
		f.weight, f.minShare = weight, minShare
	}
}

func (s *Shares) flow(name string) *flow {
	f := s.byName[name]
	if f == nil && len(s.flows) < maxFlows {
		f = &flow{name: name, weight: 1, target: 1}
		s.byName[name] = f
		s.flows = append(s.flows, f)
	}
	return f
}

// Observe records a job of a flow that was offered, and whether it is served.
func (s *Shares) Observe(name string, work time.Duration, served bool) {
	f := s.flow(name)
	if f == nil {
		return
	}
	f.offered += work.Seconds()
	if served {
		f.served += work.Seconds()
	}
}

// Withdraw records that an admitted job of a flow is not served after all.
func (s *Shares) Withdraw(name string, work time.Duration) {
	if f := s.flow(name); f != nil {
		f.served = max(f.served-work.Seconds(), 0)
	}
}

// Update decays the sums to now and divides the served work among the flows anew.
func (s *Shares) Update(now time.Time) {
	if !s.updated.IsZero() {
		decay := math.Exp(-float64(now.Sub(s.updated)) / float64(sharesDecay))
		for _, f := range s.flows {
			f.offered *= decay
			f.served *= decay
		}
	}
	s.updated = now
	divide(s.flows)
}

// divide sets the target of each flow, the part of its offered work that is to be served. The sum of what is served stays the same.
func divide(flows []*flow) {
	capacity := 0.0
	for _, f := range flows {
		capacity += f.served
	}
	level := fillLevel(flows, capacity)
	for _, f := range flows {
		f.target = f.partAt(level, capacity)
	}
}

// partAt returns the part of its offered work that a flow gets at a fill level.
func (f *flow) partAt(level, capacity float64) float64 {
	least := 0.0
	if f.offered > 0 {
		least = min(f.minShare*capacity/f.offered, 1)
	}
	return max(min(f.weight*level, 1), least)
}

// fillLevel returns the highest level at which the parts of all flows fit the capacity.
func fillLevel(flows []*flow, capacity float64) float64 {
	const steps = 30
	low, high := 0.0, 1.0
	for _, f := range flows {
		high = max(high, 1/f.weight)
	}
	for range steps {
		level := (low + high) / 2
		needed := 0.0
		for _, f := range flows {
			needed += f.partAt(level, capacity) * f.offered
		}
		if needed <= capacity {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// Strictness returns the factor on the waiting work with which a job of the flow is assessed: above one for a flow that is served better
// than its target, below one for a flow that is served worse.
func (s *Shares) Strictness(name string) float64 {
	f := s.byName[name]
	if f == nil || f.offered == 0 || f.target == 0 {
		return 1
	}
	return min(max(math.Pow(f.served/f.offered/f.target, strictnessExponent), minStrictness), maxStrictness)
}

// Part returns the part of the offered work of a flow that was served lately, and its target.
func (s *Shares) Part(name string) (served, target float64) {
	f := s.byName[name]
	if f == nil || f.offered == 0 {
		return 1, 1
	}
	return f.served / f.offered, f.target
}

// Names returns the names of the flows, sorted.
func (s *Shares) Names() []string {
	names := make([]string, 0, len(s.flows))
	for _, f := range s.flows {
		names = append(names, f.name)
	}
	slices.Sort(names)
	return names
}
