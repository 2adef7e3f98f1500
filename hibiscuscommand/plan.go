package hibiscuscommand

import (
	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
)

const planHelp = "Prints what a configuration file would change in services, kinds, dependencies and teams, and whom each " +
	"change affects. Nothing is changed. Needs the viewer's token. To exclude a change in between, pass the version that " +
	"plan prints to apply with --base."

type planCommand struct {
	env *environment
	configurationFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration file, - for standard input"`
	} `positional-args:"true" required:"true"`
}

type planView struct {
	BaseVersion uint64       `json:"base_version"`
	Changes     []changeView `json:"changes"`
}

type changeView struct {
	Subject string `json:"subject"`
	What    string `json:"what"`
	Affects string `json:"affects"`
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	after, err := hibiscusprotocol.ParseConfiguration(c.Args.File, text)
	if err != nil {
		return err
	}
	current, err := c.version(c.env, "current")
	if err != nil {
		return err
	}
	before, err := current.configuration()
	if err != nil {
		return err
	}
	view := planView{BaseVersion: current.Version, Changes: newChangeViews(hibiscuscoordination.Plan(before.Document(), after))}
	if c.Output == "json" {
		return c.env.printJSON(view)
	}
	c.env.printf("%d changes to version %d\n", len(view.Changes), view.BaseVersion)
	c.env.printChanges(view.Changes)
	return nil
}

func newChangeViews(changes []hibiscuscoordination.Change) []changeView {
	views := make([]changeView, len(changes))
	for i, change := range changes {
		views[i] = changeView{Subject: change.Subject(), What: change.What(), Affects: change.Affects()}
	}
	return views
}

func (e *environment) printChanges(changes []changeView) {
	for _, change := range changes {
		e.printf("  %s: %s\n      affects %s\n", change.Subject, change.What, change.Affects)
	}
}
