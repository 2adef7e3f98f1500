// Command second plays the scripts of the second review: a small deployment on loopback, with one disruption each.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: second CASE FOLDER")
		os.Exit(exitNotRun)
	}
	play := map[string]func(*record, bool) (bool, error){
		"small": playSmallTasks, "long": playLongTasks, "impossible": playImpossibleJobs, "late": playLateStart,
	}[os.Args[1]]
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if play == nil || err != nil {
		fmt.Println("no such case, or no folder:", err)
		os.Exit(exitNotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		children.killAll()
		os.Exit(exitNotRun)
	}()
	rec := &record{file: file, began: time.Now()}
	held, err := play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		os.Exit(exitNotRun)
	case !held:
		rec.printf("the rule was BROKEN")
		os.Exit(exitBroken)
	}
	rec.printf("the rule held")
	os.Exit(exitHeld)
}
