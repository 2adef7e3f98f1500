// Package hibiscusprocess composes the four layers into the two processes of the system, the entry and the agent.
//
// Besides the command line, it is the only package that imports all four layers.
package hibiscusprocess
