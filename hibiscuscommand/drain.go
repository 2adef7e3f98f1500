package hibiscuscommand

import (
	"net/url"

	"github.com/jessevdk/go-flags"
)

const (
	drainHelp         = "Takes an endpoint or an entry out of service without cutting off a request. Needs the operator's token."
	drainEndpointHelp = "Asks the agent of an endpoint to take no new work from any entry; what the endpoint has is finished. " +
		"With --undo the endpoint gets work again. The drain ends with the agent's process. Exit code 0 once the agent has " +
		"confirmed, 1 when the endpoint is unknown or its agent did not confirm within a second (repeat the command then)."
	drainEntryHelp = "Lowers the readiness of the entry at once, so that the balancer leaves it, refuses new jobs after its " +
		"drain_ms, and finishes the jobs that it has. The process goes on until it is stopped; a drain of an entry can't be undone."
)

// addDrainCommands adds drain with the two commands below it.
func addDrainCommands(parser *flags.Parser, env *environment) error {
	drain, err := parser.AddCommand("drain", "take an endpoint or an entry out of service", drainHelp, &struct{}{})
	if err != nil {
		return err
	}
	if _, err := drain.AddCommand("endpoint", "take an endpoint out, or put it back with --undo", drainEndpointHelp,
		&drainEndpointCommand{env: env}); err != nil {
		return err
	}
	_, err = drain.AddCommand("entry", "take an entry out before it is stopped", drainEntryHelp, &drainEntryCommand{env: env})
	return err
}

type drainEndpointCommand struct {
	env *environment
	operatorFlags
	Undo bool `long:"undo" description:"put the endpoint back"`
	Args struct {
		Address string `positional-arg-name:"HOST:PORT" description:"address of the endpoint's agent, as endpoints shows it"`
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
