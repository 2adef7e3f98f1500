// Package hibiscuscommand implements the command line, with one file for each group of commands. Commands read flags and
// settings, run a process or call an HTTP interface, and return errors that are mapped to exit codes.
package hibiscuscommand
