// Command hibiscussoak runs the real programs on loopback under random faults and checks their promises.
package main
