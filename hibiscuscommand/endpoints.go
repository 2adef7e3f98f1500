package hibiscuscommand

import (
	"fmt"
	"net/url"
	"strconv"
)

const (
	endpointsHelp = "Lists the endpoints that are known to an entry: health and its cause, slots, and tasks of this entry in " +
		"flight, finished and failed. Needs the viewer's token."
	teamsHelp = "Lists the teams of the configuration in force with their share, the limit of their waiting tasks at one entry, " +
		"and their waiting and running tasks. Needs the viewer's token."
)

type endpointsCommand struct {
	env *environment
	adminFlags
	outputFlags
	Sort  string `long:"sort" default:"address" value-name:"ORDER" description:"address, service, health, in_flight or failed"`
	Limit int    `long:"limit" default:"100" value-name:"N" description:"endpoints on one page, 1 to 1000"`
	After string `long:"after" value-name:"HOST:PORT" description:"show the page after this address"`
}

type endpointView struct {
	Address       string `json:"address"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Health        string `json:"health"`
	Cause         string `json:"cause"`
	TrialInMS     int64  `json:"trial_in_ms"`
	Connected     bool   `json:"connected"`
	Slots         int    `json:"slots"`
	InFlight      int    `json:"in_flight"`
	Finished      uint64 `json:"finished"`
	Failed        uint64 `json:"failed"`
}

// describeHealth returns in one line the health of the endpoint, its cause and the time until the next probe.
func (e *endpointView) describeHealth() string {
	text := e.Health
	if !e.Connected {
		text = "not connected"
	}
	if e.Cause != "" {
		text += ": " + e.Cause
	}
	if e.TrialInMS > 0 {
		text += fmt.Sprintf("; trial in %d s", (e.TrialInMS+999)/1000)
	}
	return text
}

// Execute implements flags.Commander.
func (c *endpointsCommand) Execute([]string) error {
	query := url.Values{"sort": {c.Sort}, "limit": {strconv.Itoa(c.Limit)}}
	if c.After != "" {
		query.Set("after", c.After)
	}
	raw, err := adminGet(c.env, c.Entry, "/v1/admin/endpoints?"+query.Encode(), c.Token)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		c.env.printf("%s", raw)
		return nil
	}
	var page pageView[endpointView]
	if err := decodeResponse(raw, &page); err != nil {
		return err
	}
	c.env.printf("%s\n", truncate(fmt.Sprintf("%-21s %-12s %-6s %5s %6s %9s %7s %s",
		"ENDPOINT", "SERVICE", "DOMAIN", "SLOTS", "TASKS", "FINISHED", "FAILED", "HEALTH")))
	for _, e := range page.Items {
		health := e.Health
		if !e.Connected {
			health = "lost"
		}
		c.env.printf("%s\n", truncate(fmt.Sprintf("%-21s %-12.12s %-6.6s %5d %6d %9d %7d %s",
			e.Address, e.Service, e.FailureDomain, e.Slots, e.InFlight, e.Finished, e.Failed, health)))
		if e.Cause != "" {
			c.env.printf("%s\n", truncate("  "+e.describeHealth()))
		}
	}
	if page.Next != "" {
		c.env.printf("%d of %d; next page: --after %s\n", len(page.Items), page.Total, page.Next)
	}
	return nil
}

type teamsCommand struct {
	env *environment
	adminFlags
	outputFlags
}

type teamView struct {
	Team      string `json:"team"`
	Share     int    `json:"share"`
	MaxQueued int    `json:"max_queued"`
	Waiting   int    `json:"waiting"`
	InFlight  int    `json:"in_flight"`
}

// Execute implements flags.Commander.
func (c *teamsCommand) Execute([]string) error {
	raw, err := adminGet(c.env, c.Entry, "/v1/admin/teams?limit=1000", c.Token)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		c.env.printf("%s", raw)
		return nil
	}
	var page pageView[teamView]
	if err := decodeResponse(raw, &page); err != nil {
		return err
	}
	c.env.printf("%-28s %7s %11s %9s %9s\n", "TEAM", "SHARE", "MAX QUEUED", "WAITING", "RUNNING")
	for _, t := range page.Items {
		c.env.printf("%s\n", truncate(fmt.Sprintf("%-28.28s %7d %11d %9d %9d", t.Team, t.Share, t.MaxQueued, t.Waiting, t.InFlight)))
	}
	return nil
}
