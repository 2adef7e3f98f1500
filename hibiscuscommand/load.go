package hibiscuscommand

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime/pprof"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscapacity"
	"hibiscusrouter/hibiscustransport"
)

const loadHelp = "Drives one entry with jobs over real sockets and prints the task throughput. With --agents it also runs agents in " +
	"this process, whose tasks finish at once without an endpoint, so that the entry is what is measured; without, the " +
	"deployment's own agents run the tasks."

type loadCommand struct {
	env       *environment
	Entry     string `long:"entry" default:"127.0.0.1:7110" value-name:"HOST:PORT" description:"caller_address of the entry"`
	Sessions  string `long:"sessions" default:"127.0.0.1:7210" value-name:"HOST:PORT" description:"session_address of the entry, for --agents"`
	SharedKey string `long:"shared-key" default:"a shared key for the example only" description:"shared_key of the deployment, for --agents"`
	Agents    int    `long:"agents" default:"0" value-name:"N" description:"agents to run here, for measurements only"`
	Slots     int    `long:"slots" default:"8" value-name:"N" description:"slots of each of these agents"`
	Callers   int    `long:"callers" default:"16" value-name:"N" description:"jobs in flight"`
	Tasks     int    `long:"tasks" default:"100" value-name:"N" description:"tasks of a job"`
	Payload   int    `long:"payload" default:"100" value-name:"N" description:"bytes of a payload"`
	Seconds   int    `long:"seconds" default:"5" value-name:"N" description:"how long to submit, at most 60"`
	Team      string `long:"team" default:"nokkhao" value-name:"NAME" description:"team that submits"`
	Service   string `long:"service" default:"sighting" value-name:"NAME" description:"service to submit to"`
	Kind      string `long:"kind" default:"plausibility_check" value-name:"NAME" description:"kind of the tasks"`
	Output    string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the result"`
}

type loadView struct {
	Jobs           int     `json:"jobs"`
	TasksPerSecond float64 `json:"tasks_per_second"`
	JobP50MS       float64 `json:"job_p50_ms"`
	JobP99MS       float64 `json:"job_p99_ms"`
	Refusals       int     `json:"refusals"`
	Wrong          int     `json:"wrong"`
}

const (
	maxLoadSeconds   = 60
	loadReadyTimeout = 10 * time.Second
	loadPollInterval = 50 * time.Millisecond
)

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	if c.Seconds < 1 || c.Seconds > maxLoadSeconds || c.Callers < 1 || c.Tasks < 1 {
		return errors.Mark(errors.Newf("--seconds must be 1 to %d, --callers and --tasks at least 1", maxLoadSeconds), errUsage)
	}
	ctx, stop := context.WithCancel(c.env.ctx)
	agents := hibiscuscapacity.StartAgents(ctx, hibiscustransport.NewTCPNetwork(), hibiscuscapacity.NewAgentsSettings(
		c.Agents, c.Service, c.Slots, []byte(c.SharedKey), []string{c.Sessions}, slog.New(slog.NewTextHandler(io.Discard, nil))))
	defer agents.Wait()
	defer stop()
	settings := hibiscuscapacity.NewLoadSettings(c.Entry, c.Callers, time.Duration(c.Seconds)*time.Second).
		WithJob(c.Team, c.Service, c.Kind, c.Tasks, c.Payload)
	if err := c.awaitService(ctx); err != nil {
		return err
	}
	result, err := hibiscuscapacity.Load(ctx, settings)
	if err != nil {
		return errors.Mark(err, errUnreachable)
	}
	return c.print(result)
}

// awaitService submits small jobs until one is not refused, so that agents that still connect don't count.
func (c *loadCommand) awaitService(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, loadReadyTimeout)
	defer stop()
	body, err := json.Marshal(jobFile{Team: c.Team, Service: c.Service, DeadlineMS: 1000, Tasks: []jobTask{{Kind: c.Kind}}})
	if err != nil {
		return err
	}
	env := &environment{ctx: ctx, out: c.env.out, err: c.env.err}
	for {
		raw, err := c.submitOnce(env, body)
		var view answerView
		if err == nil && json.Unmarshal(raw, &view) == nil && view.Error == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(errors.Newf("the entry does not take jobs: %s", raw), errUnreachable)
		case <-time.After(loadPollInterval):
		}
	}
}

func (c *loadCommand) submitOnce(env *environment, body []byte) ([]byte, error) {
	key, err := issueKey(env, http.DefaultClient, c.Entry)
	if err != nil {
		return nil, err
	}
	return post(env, http.DefaultClient, "http://"+c.Entry+"/v1/jobs", key, body)
}

func (c *loadCommand) print(result *hibiscuscapacity.LoadResult) error {
	wrong, flaw := result.Wrong()
	view := loadView{
		Jobs: result.Jobs(), TasksPerSecond: result.TasksPerSecond(), Refusals: result.Refusals(), Wrong: wrong,
		JobP50MS: float64(result.Latency(50).Microseconds()) / 1000, JobP99MS: float64(result.Latency(99).Microseconds()) / 1000,
	}
	if c.Output == "json" {
		raw, err := json.Marshal(view)
		if err != nil {
			return err
		}
		c.env.printf("%s\n", raw)
	} else {
		c.env.printf("%.0f tasks/s in %d jobs of %d tasks, job p50 %.1f ms, p99 %.1f ms, %d refusals, %d wrong answers\n",
			view.TasksPerSecond, view.Jobs, c.Tasks, view.JobP50MS, view.JobP99MS, view.Refusals, view.Wrong)
	}
	if wrong > 0 {
		return errors.Newf("an answer was wrong: %s", flaw)
	}
	return nil
}

// startCPUProfile writes a profile of the processor time until the returned function is called; an empty path writes none.
func startCPUProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		// A profile that could not be written whole is noticed by the tool that reads it.
		_ = f.Close()
	}, nil
}
