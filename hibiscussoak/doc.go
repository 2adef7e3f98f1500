// Package hibiscussoak runs the real programs as processes on loopback, injects faults from outside them, and checks the promises
// of docs/platform.md while it runs, from what callers and workers see.
//
// A run has a seed, from which all faults come. Its workers and its store are stand-ins in the soak's own process; entries and
// agents are child processes of the one binary. Proxies between the processes delay, reset, silence and cut their connections;
// signals stop, pause, kill and restart them. Only processes that the soak has started are ended, by their ids.
package hibiscussoak
