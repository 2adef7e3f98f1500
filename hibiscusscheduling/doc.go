// Package hibiscusscheduling holds the decisions of the coordination layer about scarce and uneven capacity: where work may be sent,
// how much capacity the next seconds have, which jobs are admitted, and which task runs on which worker. Its types and functions work on
// plain values: they send no messages, start no goroutines and read no clocks.
package hibiscusscheduling
