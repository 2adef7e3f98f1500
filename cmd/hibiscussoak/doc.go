// Command hibiscussoak runs the real programs on loopback under random faults and checks their invariants.
package main
