// Package hibiscussoak runs the real programs as processes on loopback, injects faults from outside them, and checks the
// invariants of docs/platform.md during the run, from what callers and workers observe.
//
// All faults of a run are derived from its seed. Workers and the store are stand-ins within the soak's own process; entries and
// agents are child processes of the one binary. Proxies between the processes delay, reset, refuse and silently drop traffic;
// signals stop, pause, kill and reload the processes. The soak ends only processes that it has started, by their ids.
package hibiscussoak
