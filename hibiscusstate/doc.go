// Package hibiscusstate holds the data types and data structures of the dispatcher: identifiers, rings, jobs, queues, worker
// views, slots, finished tasks and the configuration document.
//
// It is the lowest of the four layers (transport, protocol, coordination, state) and imports none of the others. Nothing
// here starts a goroutine, reads a clock or depends on an encoding: callers pass the current time in. Except for Ring, no type
// is safe for concurrent use, because exactly one goroutine owns each value.
package hibiscusstate
