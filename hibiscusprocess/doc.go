// Package hibiscusprocess puts the layers together into the processes of the system: an entry and an agent.
//
// It is the only place besides the command line that knows all four layers.
package hibiscusprocess
