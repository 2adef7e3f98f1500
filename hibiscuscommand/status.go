package hibiscuscommand

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const statusHelp = "Shows the view of one or several entries: services with their workers, tasks in time and late, queues and " +
	"refusals, endpoints that get no tasks and the cause, and the configuration in force. Counters start at zero when an " +
	"entry starts. With --all, requests go to every entry that the first one is connected to, and the totals are shown. " +
	"Needs the viewer's token. Exit code 1 when an entry refuses, 3 when one can't be reached."

// watchInterval is the time between two updates of --watch.
const watchInterval = time.Second

// clearScreen moves the cursor home and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

type statusCommand struct {
	env *environment
	outputFlags
	Entries []string `long:"entry" default:"127.0.0.1:7100" value-name:"HOST:PORT" description:"caller_address of an entry; may be repeated"`
	Token   string   `long:"token" env:"HIBISCUSROUTER_TOKEN" value-name:"TOKEN" default-mask:"-" description:"viewer_token or operator_token"`
	All     bool     `long:"all" description:"show all entries and the totals"`
	Watch   bool     `long:"watch" description:"repeat every second until interrupted"`
}

type statusView struct {
	Entry struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
		Ready         bool   `json:"ready"`
		Draining      bool   `json:"draining"`
	} `json:"entry"`
	Configured           bool   `json:"configured"`
	ConfigurationVersion uint64 `json:"configuration_version"`
	Jobs                 struct {
		Running int `json:"running"`
		Records int `json:"records"`
		Bytes   int `json:"bytes"`
	} `json:"jobs"`
	Services  []serviceView `json:"services"`
	Endpoints struct {
		Known  int `json:"known"`
		Usable int `json:"usable"`
	} `json:"endpoints"`
	Problems         []endpointView `json:"problems"`
	EvacuatedDomains []string       `json:"evacuated_domains"`
}

type serviceView struct {
	Service        string            `json:"service"`
	Workers        int               `json:"workers"`
	UsableWorkers  int               `json:"usable_workers"`
	Slots          int               `json:"slots"`
	InFlight       int               `json:"in_flight"`
	Waiting        int               `json:"waiting"`
	OldestWaitMS   int64             `json:"oldest_wait_ms"`
	TasksInTime    uint64            `json:"tasks_in_time"`
	TasksLate      uint64            `json:"tasks_late"`
	TasksFailed    uint64            `json:"tasks_failed"`
	TasksCancelled uint64            `json:"tasks_cancelled"`
	Refusals       map[string]uint64 `json:"refusals"`
}

type memberView struct {
	Address       string `json:"address"`
	CallerAddress string `json:"caller_address"`
	Connected     bool   `json:"connected"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	for {
		if c.Watch && c.Output == "text" {
			c.env.printf("%s", clearScreen)
		}
		if err := c.show(); err != nil {
			return err
		}
		if !c.Watch {
			return nil
		}
		select {
		case <-c.env.ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

func (c *statusCommand) show() error {
	if c.All {
		return c.showAll()
	}
	for i, entry := range c.Entries {
		raw, err := adminGet(c.env, entry, "/v1/admin/status", c.Token)
		if err != nil {
			return err
		}
		if c.Output == "json" {
			c.env.printf("%s", raw)
			continue
		}
		var view statusView
		if err := decodeResponse(raw, &view); err != nil {
			return err
		}
		if i > 0 {
			c.env.printf("\n")
		}
		c.env.printf("%s", view.text())
	}
	return nil
}

// showAll shows all members known to the first entry. For an entry that does not respond it prints the error, which also
// determines the exit code.
func (c *statusCommand) showAll() error {
	raw, err := adminGet(c.env, c.Entries[0], "/v1/admin/members?limit=1000", c.Token)
	if err != nil {
		return err
	}
	var members pageView[memberView]
	if err := decodeResponse(raw, &members); err != nil {
		return err
	}
	var all []statusView
	var failed error
	for _, m := range members.Items {
		if !m.Connected {
			c.printLine("entry %s: no session from %s", m.Address, c.Entries[0])
			continue
		}
		raw, err := adminGet(c.env, m.CallerAddress, "/v1/admin/status", c.Token)
		if err != nil {
			c.printLine("entry %s: %v", m.Address, err)
			failed = errors.CombineErrors(failed, err)
			continue
		}
		if c.Output == "json" {
			c.env.printf("%s", raw)
			continue
		}
		var view statusView
		if err := decodeResponse(raw, &view); err != nil {
			return err
		}
		c.printLine("%s", view.summary())
		all = append(all, view)
	}
	if len(all) > 0 {
		sum := aggregateStatus(all)
		c.env.printf("\n%s", sum.tables())
	}
	return failed
}

// printLine prints a line unless the output format is JSON.
func (c *statusCommand) printLine(format string, args ...any) {
	if c.Output == "text" {
		c.env.printf("%s\n", truncate(fmt.Sprintf(format, args...)))
	}
}

// aggregateStatus returns the totals of several entries. Counts of one entry are added; workers and slots are shared, so their
// maximum is taken. A worker is listed as a problem if any entry lists it.
func aggregateStatus(views []statusView) statusView {
	var sum statusView
	services := map[string]*serviceView{}
	problems := map[string]bool{}
	for _, v := range views {
		for _, s := range v.Services {
			total := services[s.Service]
			if total == nil {
				total = &serviceView{Service: s.Service, Refusals: map[string]uint64{}}
				services[s.Service] = total
			}
			total.add(&s)
		}
		for _, e := range v.Problems {
			if !problems[e.Address] {
				problems[e.Address] = true
				sum.Problems = append(sum.Problems, e)
			}
		}
		if len(v.EvacuatedDomains) > len(sum.EvacuatedDomains) {
			sum.EvacuatedDomains = v.EvacuatedDomains
		}
		sum.Endpoints.Known = max(sum.Endpoints.Known, v.Endpoints.Known)
		sum.Endpoints.Usable = max(sum.Endpoints.Usable, v.Endpoints.Usable)
	}
	for _, s := range services {
		sum.Services = append(sum.Services, *s)
	}
	slices.SortFunc(sum.Services, func(x, y serviceView) int { return strings.Compare(x.Service, y.Service) })
	slices.SortFunc(sum.Problems, func(x, y endpointView) int { return strings.Compare(x.Address, y.Address) })
	return sum
}

func (s *serviceView) add(other *serviceView) {
	s.Workers = max(s.Workers, other.Workers)
	s.UsableWorkers = max(s.UsableWorkers, other.UsableWorkers)
	s.Slots = max(s.Slots, other.Slots)
	s.OldestWaitMS = max(s.OldestWaitMS, other.OldestWaitMS)
	s.InFlight += other.InFlight
	s.Waiting += other.Waiting
	s.TasksInTime += other.TasksInTime
	s.TasksLate += other.TasksLate
	s.TasksFailed += other.TasksFailed
	s.TasksCancelled += other.TasksCancelled
	for reason, n := range other.Refusals {
		s.Refusals[reason] += n
	}
}

// summary returns the state of an entry in one line.
func (v *statusView) summary() string {
	return fmt.Sprintf("entry %s, domain %s: %s, %s, %d jobs running", v.Entry.Address, v.Entry.FailureDomain,
		v.state(), v.configuration(), v.Jobs.Running)
}

func (v *statusView) text() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintln(&b, truncate(fmt.Sprintf(format, args...))) }
	line("entry %s, failure domain %s: %s", v.Entry.Address, v.Entry.FailureDomain, v.state())
	line("%s in force", v.configuration())
	if len(v.EvacuatedDomains) > 0 {
		line("evacuated failure domains: %s", strings.Join(v.EvacuatedDomains, ", "))
	}
	line("%d jobs running, %d kept in %.1f MB", v.Jobs.Running, v.Jobs.Records, float64(v.Jobs.Bytes)/1e6)
	line("")
	return b.String() + v.tables()
}

// tables returns the tables of services and of unhealthy endpoints.
func (v *statusView) tables() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintln(&b, truncate(fmt.Sprintf(format, args...))) }
	line("%-18s %9s %6s %7s %8s %8s %9s %8s", "SERVICE", "WORKERS", "SLOTS", "RUNNING", "WAITING", "OLDEST", "IN TIME", "LATE")
	for _, s := range v.Services {
		line("%-18.18s %9s %6d %7d %8d %8s %9d %8d", s.Service, fmt.Sprintf("%d/%d", s.UsableWorkers, s.Workers), s.Slots,
			s.InFlight, s.Waiting, formatAge(s.OldestWaitMS), s.TasksInTime, s.TasksLate)
		if s.TasksFailed+s.TasksCancelled > 0 {
			line("  tasks of failed jobs %d, of cancelled jobs %d", s.TasksFailed, s.TasksCancelled)
		}
		for _, reason := range sortedKeys(s.Refusals) {
			line("  refused %s: %d", reason, s.Refusals[reason])
		}
	}
	line("")
	if len(v.EvacuatedDomains) > 0 && v.Entry.Address == "" {
		line("evacuated failure domains: %s", strings.Join(v.EvacuatedDomains, ", "))
	}
	if v.Endpoints.Usable == v.Endpoints.Known && len(v.Problems) == 0 {
		line("all %d endpoints get work", v.Endpoints.Known)
		return b.String()
	}
	line("%d of %d endpoints get work; out or on trial:", v.Endpoints.Usable, v.Endpoints.Known)
	for _, e := range v.Problems {
		line("  %s %s", e.Address, e.Service)
		line("    %s", e.describeHealth())
	}
	return b.String()
}

func (v *statusView) state() string {
	switch {
	case v.Entry.Draining:
		return "draining, refuses new jobs"
	case v.Entry.Ready:
		return "ready"
	}
	return "not ready"
}

func (v *statusView) configuration() string {
	if !v.Configured {
		return "no configuration"
	}
	return fmt.Sprintf("configuration %d", v.ConfigurationVersion)
}

// formatAge formats milliseconds, from 10 s on in seconds.
func formatAge(ms int64) string {
	switch {
	case ms == 0:
		return "-"
	case ms < 10_000:
		return fmt.Sprintf("%d ms", ms)
	}
	return fmt.Sprintf("%d s", ms/1000)
}

func sortedKeys(m map[string]uint64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
