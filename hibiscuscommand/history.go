package hibiscuscommand

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hibiscusrouter/hibiscusprotocol"
)

const (
	historyHelp = "Prints the newest entries of the audit trail: who did what, from where and when, and which configuration " +
		"version came of it. Entries older than 30 days come from the object store. Needs the viewer's token."
	diffHelp = "Prints the lines that differ between two versions of the configuration. Exit code 0 also when none " +
		"do. Needs the viewer's token."
)

type historyCommand struct {
	env *environment
	configurationFlags
	Limit int `long:"limit" default:"20" value-name:"N" description:"number of entries, at most 1000"`
}

type auditView struct {
	Entries []auditEntryView `json:"entries"`
}

type auditEntryView struct {
	Time        time.Time `json:"time"`
	Who         string    `json:"who"`
	From        string    `json:"from"`
	What        string    `json:"what"`
	FromVersion uint64    `json:"from_version,omitempty"`
	ToVersion   uint64    `json:"to_version,omitempty"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	var view auditView
	if err := c.request(c.env, http.MethodGet, "/v1/admin/audit?limit="+strconv.Itoa(c.Limit), nil, &view); err != nil {
		return err
	}
	if c.Output == "json" {
		return c.env.printJSON(view)
	}
	for _, e := range view.Entries {
		versions := ""
		if e.ToVersion > 0 {
			versions = fmt.Sprintf("  version %d -> %d", e.FromVersion, e.ToVersion)
		}
		c.env.printf("%s  %s from %s%s\n    %s\n", e.Time.Format("2006-01-02 15:04:05.000Z"), e.Who, e.From, versions, e.What)
	}
	return nil
}

type diffCommand struct {
	env *environment
	configurationFlags
	Args struct {
		A uint64 `positional-arg-name:"A" description:"one version"`
		B uint64 `positional-arg-name:"B" description:"the other version"`
	} `positional-args:"true" required:"true"`
}

type diffView struct {
	A          uint64 `json:"a"`
	B          uint64 `json:"b"`
	Difference string `json:"difference"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	a, err := c.version(c.env, strconv.FormatUint(c.Args.A, 10))
	if err != nil {
		return err
	}
	b, err := c.version(c.env, strconv.FormatUint(c.Args.B, 10))
	if err != nil {
		return err
	}
	before, err := a.configuration()
	if err != nil {
		return err
	}
	after, err := b.configuration()
	if err != nil {
		return err
	}
	difference := hibiscusprotocol.DiffConfigurations(before, after)
	if c.Output == "json" {
		return c.env.printJSON(diffView{A: a.Version, B: b.Version, Difference: difference})
	}
	c.env.printf("%s", difference)
	return nil
}
