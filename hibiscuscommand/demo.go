package hibiscuscommand

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprocess"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

const demoHelp = "Starts an entry, three agents with their endpoints and the platform's stand-in in one process on loopback, " +
	"applies the Nokkhao example, submits a job of a birder's morning and prints its whole answer. Needs no settings."

//go:embed demo_text.yaml
var demoText []byte

//go:embed demo_job.json
var demoJob []byte

const (
	demoAgents  = 3
	demoSlots   = 8
	demoTimeout = 10 * time.Second
	demoKey     = "a shared key for the demo only"
)

type demoCommand struct {
	env    *environment
	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the answer"`
}

// demo is the small deployment.
type demo struct {
	env    *environment
	log    *slog.Logger
	duties sync.WaitGroup
	ctx    context.Context
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := context.WithTimeout(c.env.ctx, demoTimeout)
	d := &demo{env: c.env, log: slog.New(slog.NewTextHandler(io.Discard, nil)), ctx: ctx}
	defer d.duties.Wait()
	defer stop()
	callers, err := d.start()
	if err != nil {
		return err
	}
	if err := d.awaitReady(callers); err != nil {
		return err
	}
	submit := &submitCommand{env: c.env, Entry: callers, Output: c.Output}
	key, err := issueKey(c.env, &http.Client{}, callers)
	if err != nil {
		return err
	}
	raw, err := submitJob(c.env, &http.Client{}, callers, key, demoJob, demoTimeout)
	if err != nil {
		return err
	}
	return submit.print(raw)
}

// start runs all processes and returns the address for callers.
func (d *demo) start() (string, error) {
	addresses, err := freeAddresses(2 + 2*demoAgents)
	if err != nil {
		return "", err
	}
	callers, sessions := addresses[0], addresses[1]
	document, err := hibiscusprotocol.ParseText("demo_text.yaml", demoText)
	if err != nil {
		return "", err
	}
	settings, err := hibiscusprotocol.ParseEntrySettings("demo", fmt.Appendf(nil,
		"caller_address: %s\nsession_address: %s\nfailure_domain: a\nshared_key: %s\ndrain_ms: 0\n", callers, sessions, demoKey))
	if err != nil {
		return "", err
	}
	entry := hibiscusprocess.NewEntry(settings, newIncarnation(), hibiscustransport.NewTCPNetwork(), d.log)
	d.run("entry", entry.Run)
	if err := entry.Duty().Configure(hibiscusstate.NewConfiguration(1, string(demoText), document)); err != nil {
		return "", err
	}
	for i := range demoAgents {
		if err := d.startWorker(addresses[2+2*i], addresses[3+2*i], sessions); err != nil {
			return "", err
		}
	}
	return callers, nil
}

func (d *demo) startWorker(agentAddress, endpointAddress, sessions string) error {
	settings, err := hibiscusprotocol.ParseAgentSettings("demo", fmt.Appendf(nil,
		"endpoint_address: %s\nfailure_domain: a\nshared_key: %s\nseed_entries: [%s]\n", agentAddress, demoKey, sessions))
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
	d.duties.Go(func() {
		if err := f(d.ctx); err != nil && d.ctx.Err() == nil {
			d.env.logger().Error(name+": stopped", "cause", err.Error())
		}
	})
}

// awaitReady waits until the entry takes jobs.
func (d *demo) awaitReady(callers string) error {
	for d.ctx.Err() == nil {
		response, err := http.Get("http://" + callers + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Mark(errors.New("the entry did not become ready"), errNoReach)
}

// freeAddresses returns n loopback addresses that were free a moment ago.
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
