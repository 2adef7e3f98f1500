package hibiscuscommand

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const evacuateHelp = "Makes all entries and agents start no more tasks on the endpoints of a failure domain, until --end takes it back " +
	"into service; tasks that run there end on their own. The state is a row of the table, so it outlasts restarts. Needs the " +
	"operator's token. Exit code 0 when it is stored and in force in the entry (the others follow within 2 s), 1 when it was " +
	"refused, 2 when the name can't be that of a domain, 3 when the entry could not be reached."

// evacuateTimeout bounds the request; an entry needs up to 10 s for a write while the table service is slow.
const evacuateTimeout = 12 * time.Second

type evacuateCommand struct {
	env *environment
	operatorFlags
	End  bool `long:"end" description:"take the domain back into service"`
	Args struct {
		Domain string `positional-arg-name:"DOMAIN" description:"failure_domain of the agents, as shown by endpoints"`
	} `positional-args:"true" required:"true"`
}

type evacuationView struct {
	Revision  uint64   `json:"revision"`
	Domains   []string `json:"domains"`
	Endpoints int      `json:"endpoints"`
	Warning   string   `json:"warning"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	body, err := json.Marshal(struct {
		Domain string `json:"domain"`
		End    bool   `json:"end"`
	}{c.Args.Domain, c.End})
	if err != nil {
		return errors.Wrap(err, "encode the request")
	}
	request := c.newRequest(http.MethodPost, "/v1/admin/evacuate", evacuateTimeout)
	request.body = body
	raw, _, err := request.send(c.env)
	if err != nil {
		return err
	}
	var view evacuationView
	if err := decodeResponse(raw, &view); err != nil {
		return err
	}
	done := "is evacuated"
	if c.End {
		done = "is in service again"
	}
	c.env.printf("failure domain %s %s\n", c.Args.Domain, done)
	c.env.printf("%s\n", truncate(view.text()))
	if view.Warning != "" {
		c.env.printf("%s\n", truncate("warning: "+view.Warning))
	}
	return nil
}

// text returns the evacuated domains in one line.
func (v *evacuationView) text() string {
	if len(v.Domains) == 0 {
		return "no failure domain is evacuated"
	}
	return "evacuated failure domains: " + strings.Join(v.Domains, ", ")
}
