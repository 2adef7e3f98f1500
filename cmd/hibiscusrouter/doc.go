// Command hibiscusrouter is the complete system in one binary: its processes, stand-ins for tests, and tools.
package main
