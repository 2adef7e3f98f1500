package hibiscusstate

// Resources is an amount of what a worker has and a task takes.
//
// Slots are counted in the unit in which the endpoint announces them: tasks run at once, or thousandths of a core. A worker
// with 8 slots whose tasks take one each, and one with 32,000 thousandths whose tasks take 3,100 each, are placed alike.
type Resources struct {
	slots        int
	memory       int
	accelerators int
}

// NewResources returns an amount: slots, megabytes of memory, and accelerators.
func NewResources(slots, memory, accelerators int) Resources {
	return Resources{slots: slots, memory: memory, accelerators: accelerators}
}

// Slots returns the number of slots.
func (r Resources) Slots() int { return r.slots }

// Memory returns the megabytes of memory.
func (r Resources) Memory() int { return r.memory }

// Accelerators returns the number of accelerators.
func (r Resources) Accelerators() int { return r.accelerators }

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{slots: r.slots + other.slots, memory: r.memory + other.memory, accelerators: r.accelerators + other.accelerators}
}

// Sub returns what is left of an amount after other is taken, negative where there is less.
func (r Resources) Sub(other Resources) Resources {
	return Resources{slots: r.slots - other.slots, memory: r.memory - other.memory, accelerators: r.accelerators - other.accelerators}
}

// Within says whether the amount is no larger than limit in any part.
func (r Resources) Within(limit Resources) bool {
	return r.slots <= limit.slots && r.memory <= limit.memory && r.accelerators <= limit.accelerators
}
