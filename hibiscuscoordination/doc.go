// Package hibiscuscoordination holds the decisions of the dispatcher and the agents, and the goroutines that run them.
//
// The decisions (Dispatcher for an entry, SlotManager for an agent) are plain code over the data of hibiscusstate: they get
// the current time as an argument and act through function fields, independent of encodings, sockets and goroutines.
// Entry, Agent and their helpers are event loops: each is one goroutine that owns one of these and reads commands from one ring.
//
// It is the second of the four layers and imports only hibiscusstate.
package hibiscuscoordination
