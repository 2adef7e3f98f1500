package hibiscusstate

// Resources is an amount of resources that a worker has or a task needs.
//
// Slots are counted in the unit in which the endpoint announces them: concurrent tasks, or thousandths of a core. Placement treats
// a worker with 8 slots and tasks of one slot, and one with 32,000 thousandths and tasks of 3,100, the same way.
type Resources struct {
	slots        int
	memory       int
	accelerators int
}

// NewResources returns an amount of resources; memory is in megabytes.
func NewResources(slots, memory, accelerators int) Resources {
	return Resources{slots: slots, memory: memory, accelerators: accelerators}
}

// Slots returns the number of slots.
func (r Resources) Slots() int { return r.slots }

// Memory returns the memory in megabytes.
func (r Resources) Memory() int { return r.memory }

// Accelerators returns the number of accelerators.
func (r Resources) Accelerators() int { return r.accelerators }

// Add returns the sum of two amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{slots: r.slots + other.slots, memory: r.memory + other.memory, accelerators: r.accelerators + other.accelerators}
}

// Sub returns the difference of two amounts, negative where other is larger.
func (r Resources) Sub(other Resources) Resources {
	return Resources{slots: r.slots - other.slots, memory: r.memory - other.memory, accelerators: r.accelerators - other.accelerators}
}

// Within reports whether no resource exceeds that of limit.
func (r Resources) Within(limit Resources) bool {
	return r.slots <= limit.slots && r.memory <= limit.memory && r.accelerators <= limit.accelerators
}
