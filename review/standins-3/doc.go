//go:build review3

// Command standins-3 runs one case of the third review: it starts entries and agents as separate processes on loopback, with
// stand-ins of the platform's store, workers and clients, and writes what was sent, answered and run to a record.
package main
