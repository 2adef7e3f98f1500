// Package hibiscuscommand is the command line: one file for each group of commands, which read flags and settings, run a
// process or call an HTTP interface, and turn errors into exit codes.
package hibiscuscommand
