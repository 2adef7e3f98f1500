package hibiscuscommand

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscustransport"
)

const programHelp = "hibiscusrouter dispatches short tasks from callers to the endpoints that run them. Start with " +
	"\"hibiscusrouter demo\", which needs nothing else; README.md has an example with separate processes. The processes are " +
	"entry (serves callers and operators) and agent (one for each endpoint); platform and endpoint are stand-ins for trials. " +
	"\"hibiscusrouter COMMAND --help\" explains a command. Exit codes: 0 done, 1 failed or refused, 2 wrong flags, settings or " +
	"text, 3 a process could not be reached."

// Exit codes, for scripts.
const (
	exitOK          = 0
	exitFailed      = 1 // the command ran and its result is a failure: a failed job, a refusal, a conflict
	exitUsage       = 2 // flags, settings or a configuration are invalid; nothing was done
	exitUnreachable = 3 // a process could not be reached
)

// Errors that determine the exit code.
var (
	errUsage       = errors.New("usage")
	errUnreachable = errors.New("process could not be reached")
)

// environment holds the context, the output streams and the HTTP client of a command.
type environment struct {
	ctx context.Context
	out io.Writer
	err io.Writer
	// client sends requests to entries; nil means http.DefaultClient.
	client *http.Client
}

func (e *environment) printf(format string, args ...any) { fmt.Fprintf(e.out, format, args...) }

func (e *environment) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(e.err, &slog.HandlerOptions{Level: slog.LevelInfo}))
}

// processLogger returns the logger of a process, on standard output; it never blocks, and closeLog flushes it.
func (e *environment) processLogger() (log *slog.Logger, closeLog func()) {
	w := hibiscustransport.NewLogWriter(e.out)
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})), w.Close
}

// Run executes one command line, without the program's name, and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return RunContext(ctx, args, out, errOut)
}

// RunContext is like Run, with a context whose end stops long-running commands gracefully.
func RunContext(ctx context.Context, args []string, out, errOut io.Writer) int {
	return run(&environment{ctx: ctx, out: out, err: errOut}, args)
}

func run(env *environment, args []string) int {
	parser := flags.NewNamedParser("hibiscusrouter", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = programHelp
	if err := addCommands(parser, env); err != nil {
		fmt.Fprintf(env.err, "hibiscusrouter: %v\n", err)
		return exitUsage
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, env.out, env.err)
}

func exitCode(err error, out, errOut io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintf(errOut, "hibiscusrouter: %s\nRun hibiscusrouter --help for the commands.\n", usage.Message)
		return exitUsage
	}
	fmt.Fprintf(errOut, "hibiscusrouter: %v\n", err)
	switch {
	case errors.Is(err, errUsage), errors.Is(err, hibiscusprotocol.ErrBadSettings), errors.Is(err, hibiscusprotocol.ErrBadConfiguration):
		return exitUsage
	case errors.Is(err, errUnreachable):
		return exitUnreachable
	default:
		return exitFailed
	}
}

// addCommands adds every command to the parser.
func addCommands(parser *flags.Parser, env *environment) error {
	for _, c := range []struct {
		name  string
		short string
		long  string
		data  any
	}{
		{"demo", "run a small deployment in one process and answer a job", demoHelp, &demoCommand{env: env}},
		{"entry", "run an entry process", entryHelp, &entryCommand{env: env}},
		{"agent", "run an agent process beside an endpoint", agentHelp, &agentCommand{env: env}},
		{"platform", "run a stand-in for the platform, for trials", platformHelp, &platformCommand{env: env}},
		{"endpoint", "run a stand-in for an endpoint, for trials", endpointHelp, &endpointCommand{env: env}},
		{"submit", "submit a job file and print its answer", submitHelp, &submitCommand{env: env}},
		{"check", "check a configuration file without an entry", checkHelp, &checkCommand{env: env}},
		{"plan", "show what a configuration file would change", planHelp, &planCommand{env: env}},
		{"apply", "apply a configuration file and wait until it is in force", applyHelp, &applyCommand{env: env}},
		{"history", "show the audit trail", historyHelp, &historyCommand{env: env}},
		{"diff", "show the difference between two configuration versions", diffHelp, &diffCommand{env: env}},
		{"revert", "apply an earlier configuration version again", revertHelp, &revertCommand{env: env}},
		{"measure", "measure the dispatch decisions in virtual time", measureHelp, &measureCommand{env: env}},
		{"job", "print an example job file", jobHelp, &jobCommand{env: env}},
		{"load", "drive an entry and print its task throughput", loadHelp, &loadCommand{env: env}},
		{"capacity", "measure the cost of one more session, task or team", capacityHelp, &capacityCommand{env: env}},
		{"status", "show services, queues, refusals and unhealthy endpoints", statusHelp, &statusCommand{env: env}},
		{"evacuate", "start no more tasks in a failure domain", evacuateHelp, &evacuateCommand{env: env}},
		{"endpoints", "list the endpoints of an entry", endpointsHelp, &endpointsCommand{env: env}},
		{"teams", "list the teams with their waiting and running tasks", teamsHelp, &teamsCommand{env: env}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return addDrainCommands(parser, env)
}
