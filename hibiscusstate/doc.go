// Package hibiscusstate holds the plain data of the dispatcher and the structures that keep it: identifiers, rings, jobs,
// queues, worker views, slots, finished tasks and the configuration document.
//
// It is the lowest of the four layers (transport, protocol, coordination, state) and imports none of the others. Nothing
// here starts a goroutine, reads a clock or knows an encoding: callers pass the current time in. Except for Ring, no type
// is safe for concurrent use, because exactly one duty owns each value.
package hibiscusstate
