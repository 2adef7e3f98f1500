// Package hibiscuscoordination holds the decisions of the dispatcher and the duties that run them.
//
// The decisions (Dispatcher for an entry, SlotManager for an agent) are plain code over the data of hibiscusstate: they get
// the current time as an argument and act through function fields, so that they know no encoding, socket or goroutine.
// Each duty (Entry, Agent and their helpers) is one goroutine that owns one of these and takes its input from one ring.
//
// It is the second of the four layers and imports only hibiscusstate.
package hibiscuscoordination
