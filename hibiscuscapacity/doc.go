// Package hibiscuscapacity measures the resource use of the processes. It contains agents without endpoints, a load generator that
// drives an entry over real sockets, and the slopes of memory, processor time and bytes from which docs/CAPACITY.md is derived.
package hibiscuscapacity
