// Package hibiscuscapacity measures what the processes cost: agents that answer by themselves, a driver that loads an entry
// over real sockets, and the slopes of memory, processor time and bytes from which docs/CAPACITY.md is worked out.
package hibiscuscapacity
