// Command hibiscusrouter is the whole system in one binary: its processes, its stand-ins and its tools.
package main
