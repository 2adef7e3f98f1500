package hibiscuscommand

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"hibiscusrouter/hibiscusprocess"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscustransport"
)

const demoHelp = "Starts an entry, three agents with their endpoints and a stand-in for the platform in one process on loopback, " +
	"applies the Nokkhao example, submits a job of four tasks and prints its complete answer. Needs no settings."

//go:embed demo_text.yaml
var demoConfiguration []byte

//go:embed demo_job.json
var demoJob []byte

const (
	demoAgents       = 3
	demoSlots        = 8
	demoPollInterval = 50 * time.Millisecond
	demoTimeout      = 10 * time.Second
	demoKey          = "a shared key for the demo only"
	demoToken        = "an operator token for the demo only"
)

type demoCommand struct {
	env    *environment
	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"output format"`
}

// demo is the deployment that the demo command runs.
type demo struct {
	env        *environment
	log        *slog.Logger
	goroutines sync.WaitGroup
	ctx        context.Context
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := context.WithTimeout(c.env.ctx, demoTimeout)
	d := &demo{env: c.env, log: slog.New(slog.NewTextHandler(io.Discard, nil)), ctx: ctx}
	// The servers of the demo stop while its clients keep idle connections, and net/http writes the refusals on these to package log.
	defer log.SetOutput(log.Writer())
	log.SetOutput(io.Discard)
	defer d.goroutines.Wait()
	defer stop()
	callerAddress, err := d.start()
	if err != nil {
		return err
	}
	if err := d.apply(callerAddress, c.Output); err != nil {
		return err
	}
	submit := &submitCommand{env: c.env, Entry: callerAddress, Output: c.Output}
	key, err := issueKey(c.env, &http.Client{}, callerAddress)
	if err != nil {
		return err
	}
	raw, err := submitJob(c.env, &http.Client{}, callerAddress, key, demoJob, demoTimeout)
	if err != nil {
		return err
	}
	return submit.print(raw)
}

// start starts all processes and returns the entry's address for callers.
func (d *demo) start() (string, error) {
	addresses, err := freeAddresses(3 + 2*demoAgents)
	if err != nil {
		return "", err
	}
	callerAddress, sessionAddress, platformAddress := addresses[0], addresses[1], addresses[2]
	l, err := net.Listen("tcp", platformAddress)
	if err != nil {
		return "", err
	}
	d.run("platform", func(ctx context.Context) error {
		return hibiscustransport.ServeHTTP(ctx, l, hibiscusstandin.NewPlatform().Handler(), time.Second)
	})
	settings, err := hibiscusprotocol.ParseEntrySettings("demo", fmt.Appendf(nil,
		"caller_address: %s\nsession_address: %s\nplatform_address: %s\nfailure_domain: a\nshared_key: %s\n"+
			"operator_token: %s\ndrain_ms: 0\n", callerAddress, sessionAddress, platformAddress, demoKey, demoToken))
	if err != nil {
		return "", err
	}
	d.run("entry", hibiscusprocess.NewEntry(settings, newIncarnation(), hibiscustransport.NewTCPNetwork(), d.log).Run)
	for i := range demoAgents {
		if err := d.startWorker(addresses[3+2*i], addresses[4+2*i], sessionAddress); err != nil {
			return "", err
		}
	}
	return callerAddress, nil
}

func (d *demo) startWorker(agentAddress, endpointAddress, sessionAddress string) error {
	settings, err := hibiscusprotocol.ParseAgentSettings("demo", fmt.Appendf(nil,
		"endpoint_address: %s\nfailure_domain: a\nshared_key: %s\nseed_entries: [%s]\n", agentAddress, demoKey, sessionAddress))
	if err != nil {
		return err
	}
	d.run("agent", hibiscusprocess.NewAgent(settings, newIncarnation(), hibiscustransport.NewTCPNetwork(), d.log).Run)
	l, err := net.Listen("tcp", endpointAddress)
	if err != nil {
		return err
	}
	endpoint := hibiscusstandin.NewEndpoint("sighting", endpointAddress, agentAddress, demoSlots, 50*time.Millisecond)
	d.run("endpoint", func(ctx context.Context) error { return endpoint.Serve(ctx, l) })
	return nil
}

func (d *demo) run(name string, f func(ctx context.Context) error) {
	d.goroutines.Go(func() {
		if err := f(d.ctx); err != nil && d.ctx.Err() == nil {
			d.env.logger().Error(name+": stopped", "cause", err.Error())
		}
	})
}

// apply applies the example configuration through the administration API, once the entry can read the table.
func (d *demo) apply(callerAddress, output string) error {
	env := *d.env
	env.ctx = d.ctx
	if output == "json" {
		env.out = io.Discard
	}
	f := &configurationFlags{}
	f.Entry, f.Token, f.Operator, f.Output = callerAddress, demoToken, "demo", output
	for {
		current, err := f.version(&env, "current")
		if err == nil {
			return f.edit(&env, string(demoConfiguration), current.Version, demoTimeout)
		}
		select {
		case <-d.ctx.Done():
			return err
		case <-time.After(demoPollInterval):
		}
	}
}

// freeAddresses returns n loopback addresses whose ports were free when it was called.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}
