package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"hibiscusrouter/hibiscussoak"
)

type options struct {
	Binary  string        `long:"binary" required:"true" value-name:"FILE" description:"hibiscusrouter binary to run, required"`
	Seed    uint64        `long:"seed" value-name:"N" description:"first seed; by default the current Unix time"`
	Runs    int           `long:"runs" default:"1" value-name:"N" description:"number of runs with successive seeds"`
	Time    time.Duration `long:"time" default:"20s" value-name:"TIME" description:"duration of fault injection in each run"`
	Entries int           `long:"entries" default:"3" value-name:"N" description:"number of entry processes"`
	Agents  int           `long:"agents" default:"4" value-name:"N" description:"number of agent processes, each with a worker"`
	Clients int           `long:"clients" default:"10" value-name:"N" description:"number of callers"`
	Faults  string        `long:"faults" default:"all" choice:"all" choice:"mixed" choice:"restarts" description:"restarts are of workers"`
	Logs    string        `long:"logs" value-name:"DIR" description:"folder for the logs of runs with violated invariants"`
	Quiet   bool          `long:"quiet" description:"print only the reports"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		return 2
	}
	if o.Entries < 1 || o.Agents < 1 || o.Entries+o.Agents > hibiscussoak.MaxProcesses {
		fmt.Fprintf(os.Stderr, "there must be at least one entry and one agent, and at most %d of both\n", hibiscussoak.MaxProcesses)
		return 2
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().Unix())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := 0
	for i := range o.Runs {
		if ctx.Err() != nil {
			return 1
		}
		if !o.runSeed(ctx, o.Seed+uint64(i)) {
			code = 1
		}
	}
	return code
}

// runSeed runs one seed and reports whether all invariants held.
func (o *options) runSeed(ctx context.Context, seed uint64) bool {
	dir, err := os.MkdirTemp("", "hibiscussoak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	out := func(line string) {
		if !o.Quiet {
			fmt.Println(line)
		}
	}
	series := map[string]hibiscussoak.Series{
		"mixed": hibiscussoak.SeriesMixed, "restarts": hibiscussoak.SeriesRestarts, "all": hibiscussoak.SeriesAll,
	}
	report, err := hibiscussoak.Run(ctx, hibiscussoak.NewOptions(o.Binary, dir, seed, o.Time, out).
		WithSize(o.Entries, o.Agents, o.Clients).WithSeries(series[o.Faults]))
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %s\n", seed, report)
	for _, violation := range report.Violations() {
		fmt.Printf("seed %d: BROKEN %s\n", seed, violation)
	}
	if len(report.Violations()) > 0 && o.Logs != "" {
		target := filepath.Join(o.Logs, fmt.Sprintf("seed-%d", seed))
		if err := os.Rename(dir, target); err != nil {
			fmt.Fprintf(os.Stderr, "the logs stay in %s: %v\n", dir, err)
		}
		return false
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return len(report.Violations()) == 0
}
