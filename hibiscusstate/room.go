package hibiscusstate

// Room is an amount of what a worker has and a task takes.
//
// Slots are counted in the unit in which the endpoint announces them: tasks run at once, or thousandths of a core. A worker
// with 8 slots whose tasks take one each, and one with 32,000 thousandths whose tasks take 3,100 each, are placed alike.
type Room struct {
	slots        int
	memory       int
	accelerators int
}

// NewRoom returns an amount: slots, megabytes of memory, and accelerators.
func NewRoom(slots, memory, accelerators int) Room {
	return Room{slots: slots, memory: memory, accelerators: accelerators}
}

// Slots returns the number of slots.
func (r Room) Slots() int { return r.slots }

// Memory returns the megabytes of memory.
func (r Room) Memory() int { return r.memory }

// Accelerators returns the number of accelerators.
func (r Room) Accelerators() int { return r.accelerators }

// Add returns the sum of two amounts.
func (r Room) Add(other Room) Room {
	return Room{slots: r.slots + other.slots, memory: r.memory + other.memory, accelerators: r.accelerators + other.accelerators}
}

// Sub returns what is left of an amount after other is taken, negative where there is less.
func (r Room) Sub(other Room) Room {
	return Room{slots: r.slots - other.slots, memory: r.memory - other.memory, accelerators: r.accelerators - other.accelerators}
}

// Within says whether the amount is no larger than limit in any part.
func (r Room) Within(limit Room) bool {
	return r.slots <= limit.slots && r.memory <= limit.memory && r.accelerators <= limit.accelerators
}
