package hibiscuscommand

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprocess"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

const (
	entryHelp = "Serves callers over HTTP and dispatches their tasks to agents. Stops gracefully on SIGTERM: leaves " +
		"the balancer, finishes its jobs, answers its callers. It takes jobs once a configuration was applied. " +
		"docs/OPERATIONS.md lists the settings, examples/processes has some to start from."
	agentHelp = "Runs beside an endpoint, takes its announcement, and hands it tasks from the entries. Stops " +
		"gracefully on SIGTERM: takes no new work and finishes what it has. docs/OPERATIONS.md lists the settings, " +
		"examples/processes has some to start from."
	platformHelp = "Serves the table service and the object store that entries and agents use, for tests and trials, " +
		"and keeps everything in memory. PUT /v1/faults switches outage, slowness and lost answers; GET /v1/counters " +
		"tells reads and writes."
	endpointHelp = "Announces itself to an agent and runs tasks by waiting, for tests and trials. A payload like " +
		"{\"run_ms\": 80, \"behavior\": \"fail\"} says how long a task takes and whether it fails, hangs or is not run."
)

func newIncarnation() hibiscusstate.Incarnation { return hibiscusstate.Incarnation(rand.Uint64()) }

type entryCommand struct {
	env      *environment
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file (YAML), required"`
	Platform bool   `long:"platform" description:"speak the users' platform's protocol to callers and to its store"`
	Profile  string `long:"cpu-profile" value-name:"FILE" description:"write a profile of the processor time (pprof)"`
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
	Platform bool   `long:"platform" description:"speak the users' platform's protocol to the endpoint and to the store"`
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	settings, err := hibiscusprotocol.LoadAgentSettings(c.Settings)
	if err != nil {
		return err
	}
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
	Listen string `long:"listen" default:"127.0.0.1:7000" value-name:"HOST:PORT" description:"where to serve HTTP"`
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
	Listen  string `long:"listen" required:"true" value-name:"HOST:PORT" description:"where to take tasks, required"`
	Agent   string `long:"agent" required:"true" value-name:"HOST:PORT" description:"endpoint_address of its agent, required"`
	Slots   int    `long:"slots" default:"8" value-name:"N" description:"tasks run at once"`
	RunMS   int64  `long:"run-ms" default:"50" value-name:"MS" description:"run time of a task whose payload names none"`
	FailAll bool   `long:"fail-all" description:"fail every task at once"`
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
