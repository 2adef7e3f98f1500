package hibiscuscommand

import (
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprocess"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

const (
	entryHelp = "Serves callers over HTTP and dispatches their tasks to agents. Stops gracefully on SIGTERM: reports not " +
		"ready to the load balancer, finishes its jobs and answers its callers. Accepts jobs once a configuration was applied. " +
		"docs/OPERATIONS.md lists the settings, examples/processes has example files."
	agentHelp = "Runs on the VM of an endpoint, receives its announcement, and sends it tasks from the entries. Stops " +
		"gracefully on SIGTERM: rejects new tasks and finishes those that it has. docs/OPERATIONS.md lists the settings, " +
		"examples/processes has example files."
	platformHelp = "Serves the table service and the object store that entries and agents use, for tests and trials, " +
		"and keeps all data in memory. PUT /v1/faults injects outages, delays and lost responses; GET /v1/counters " +
		"returns the numbers of reads and writes."
	endpointHelp = "Announces itself to an agent and simulates tasks by waiting, for tests and trials. A payload like " +
		"{\"run_ms\": 80, \"behavior\": \"fail\"} sets the run time of a task and whether it fails, hangs or is not run."
)

func newIncarnation() hibiscusstate.Incarnation { return hibiscusstate.Incarnation(rand.Uint64()) }

// memoryLimitPercent is the part of the VM's memory at which the garbage collector works harder. The rest is for the program's code and
// for what the collector can't return in time.
const memoryLimitPercent = 60

// setMemoryLimit makes the garbage collector keep the process below the memory of its VM, if the settings have it.
func setMemoryLimit(limits hibiscusprotocol.ProcessLimits) {
	if limits.Memory() > 0 {
		debug.SetMemoryLimit(limits.Memory() / 100 * memoryLimitPercent)
	}
}

type entryCommand struct {
	env      *environment
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file (YAML), required"`
	Platform bool   `long:"platform" description:"use the platform's protocol for callers and for its store"`
	Profile  string `long:"cpu-profile" value-name:"FILE" description:"write a CPU profile (pprof)"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	stopProfile, err := startCPUProfile(c.Profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	settings, err := hibiscusprotocol.LoadEntrySettings(c.Settings)
	if err != nil {
		return err
	}
	setMemoryLimit(settings.Limits())
	log, closeLog := c.env.processLogger()
	defer closeLog()
	network := hibiscustransport.NewTCPNetwork()
	entry := hibiscusprocess.NewEntry(settings, newIncarnation(), network, log)
	if c.Platform {
		AdaptEntry(entry, settings, network, log)
	}
	stopReload := watchSettings(c.Settings, log)
	defer stopReload()
	return entry.Run(c.env.ctx)
}

type agentCommand struct {
	env      *environment
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file (YAML), required"`
	Platform bool   `long:"platform" description:"use the platform's protocol for the endpoint and for the store"`
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	settings, err := hibiscusprotocol.LoadAgentSettings(c.Settings)
	if err != nil {
		return err
	}
	setMemoryLimit(settings.Limits())
	log, closeLog := c.env.processLogger()
	defer closeLog()
	network := hibiscustransport.NewTCPNetwork()
	agent := hibiscusprocess.NewAgent(settings, newIncarnation(), network, log)
	if c.Platform {
		AdaptAgent(agent, settings, network, log)
	}
	stopReload := watchSettings(c.Settings, log)
	defer stopReload()
	return agent.Run(c.env.ctx)
}

type platformCommand struct {
	env    *environment
	Listen string `long:"listen" default:"127.0.0.1:7000" value-name:"HOST:PORT" description:"address to serve HTTP on"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	c.env.logger().Info("platform: serving", "address", c.Listen)
	return hibiscustransport.ServeHTTP(c.env.ctx, l, hibiscusstandin.NewPlatform().Handler(), time.Second)
}

type endpointCommand struct {
	env     *environment
	Service string `long:"service" required:"true" value-name:"NAME" description:"service that the endpoint serves, required"`
	Listen  string `long:"listen" required:"true" value-name:"HOST:PORT" description:"address to receive tasks on, required"`
	Agent   string `long:"agent" required:"true" value-name:"HOST:PORT" description:"endpoint_address of the agent, required"`
	Slots   int    `long:"slots" default:"8" value-name:"N" description:"number of concurrent tasks"`
	RunMS   int64  `long:"run-ms" default:"50" value-name:"MS" description:"run time of tasks without run_ms in the payload"`
	FailAll bool   `long:"fail-all" description:"fail every task immediately"`
}

// Execute implements flags.Commander.
func (c *endpointCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	runTime := time.Duration(c.RunMS) * time.Millisecond
	c.env.logger().Info("endpoint: serving", "address", c.Listen, "service", c.Service)
	err = hibiscusstandin.NewEndpoint(c.Service, c.Listen, c.Agent, c.Slots, runTime).WithFailAll(c.FailAll).Serve(c.env.ctx, l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
