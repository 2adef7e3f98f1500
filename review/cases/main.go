//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// cases are the cases by their names. Each plays without its disruption when trouble is false.
var cases = map[string]struct {
	entries int
	workers int
	play    func(d *deployment, trouble bool)
}{
	"cut-worker":   {1, 6, cutWorker},
	"cut-entry":    {3, 6, cutEntry},
	"other-writer": {1, 6, otherWriter},
	"late-order":   {2, 6, lateOrder},
	"cancel":       {1, 2, cancelJob},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitUnusable)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitUnusable)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnusable)
	}
	d, err := newDeployment(rec, c.entries, c.workers)
	if err != nil {
		rec.logf("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		if d != nil {
			d.close()
		}
		os.Exit(exitUnusable)
	}
	time.AfterFunc(caseTimeout, func() {
		rec.logf("the case takes too long")
		d.close()
		os.Exit(exitUnusable)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case     %s, trouble %v", os.Args[1], trouble)
	c.play(d, trouble)
	d.close()
	os.Exit(rec.close())
}
