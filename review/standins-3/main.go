//go:build review3

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, c *campaign, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// limit is the longest time of a case; the scripts may take 120 s.
const limit = 115 * time.Second

func runCase(name, record string) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c, err := newCampaign(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer c.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := cases[name](ctx, c, os.Getenv("TROUBLE") != "0")
		ended <- result{broken, err}
	}()
	var r result
	select {
	case r = <-ended:
	case s := <-stop:
		r.err = fmt.Errorf("stopped by %v", s)
	case <-ctx.Done():
		r.err = ctx.Err()
	}
	switch {
	case r.err != nil:
		c.note("the case could not run: %v", r.err)
		return notRun
	case r.broken:
		c.note("the rule was broken")
		return ruleBroken
	}
	c.note("the rule held")
	return ruleHeld
}
