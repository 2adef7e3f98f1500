package hibiscuscommand

import (
	"net/url"

	"github.com/jessevdk/go-flags"
)

const (
	drainHelp         = "Takes an endpoint or an entry out of service without aborting requests. Needs the operator's token."
	drainEndpointHelp = "Makes the agent of an endpoint reject new tasks from all entries; tasks that it has are finished. " +
		"With --undo the endpoint gets tasks again. The drain ends with the agent's process. Exit code 0 once the agent has " +
		"confirmed, 1 when the endpoint is unknown or its agent did not confirm within a second (repeat the command then)."
	drainEntryHelp = "Makes the entry not ready at once, so that the load balancer stops sending requests; the entry refuses new " +
		"jobs after its drain_ms and finishes the jobs that it has. The process runs until it is stopped; the drain can't be undone."
)

// addDrainCommands adds the drain command with its two subcommands.
func addDrainCommands(parser *flags.Parser, env *environment) error {
	drain, err := parser.AddCommand("drain", "take an endpoint or an entry out of service", drainHelp, &struct{}{})
	if err != nil {
		return err
	}
	if _, err := drain.AddCommand("endpoint", "take an endpoint out of service, or back with --undo", drainEndpointHelp,
		&drainEndpointCommand{env: env}); err != nil {
		return err
	}
	_, err = drain.AddCommand("entry", "take an entry out of service before a stop", drainEntryHelp, &drainEntryCommand{env: env})
	return err
}

type drainEndpointCommand struct {
	env *environment
	operatorFlags
	Undo bool `long:"undo" description:"put the endpoint back into service"`
	Args struct {
		Address string `positional-arg-name:"HOST:PORT" description:"address of the endpoint's agent, as shown by endpoints"`
	} `positional-args:"true" required:"true"`
}

type drainEntryCommand struct {
	env *environment
	operatorFlags
}

// Execute implements flags.Commander.
func (c *drainEndpointCommand) Execute([]string) error {
	method, done := "POST", "is drained"
	if c.Undo {
		method, done = "DELETE", "gets work again"
	}
	path := "/v1/admin/endpoints/" + url.PathEscape(c.Args.Address) + "/drain"
	if err := c.sendChange(c.env, method, path); err != nil {
		return err
	}
	c.env.printf("endpoint %s %s\n", c.Args.Address, done)
	return nil
}

// Execute implements flags.Commander.
func (c *drainEntryCommand) Execute([]string) error {
	if err := c.sendChange(c.env, "POST", "/v1/admin/drain"); err != nil {
		return err
	}
	c.env.printf("entry %s is draining\n", c.Entry)
	return nil
}
