//go:build review

// Command cases plays the scripted cases of the review: it starts the project's programs as separate processes on loopback, with
// stand-ins for clients, workers and the platform, disturbs them, and checks one rule from what the stand-ins see.
//
// It is built by review/build.sh with the tag "review", so that it is no part of the default build, the tests or CI.
package main
