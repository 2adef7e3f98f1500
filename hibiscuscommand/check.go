package hibiscuscommand

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	hibiscusplatform "hibiscusrouter/platform"
)

const checkHelp = "Checks a configuration file before it is sent, and prints every error and finding with its line and column. " +
	"Findings are parts of a valid configuration that can't work as written: kinds that no caller can reach, limits that " +
	"contradict each other, parts that are ignored. With --against or --entry it also prints what would change. Nothing is " +
	"changed. Exit code 0 when the file is correct, 1 when it has findings, 2 when a file can't be read or has errors, 3 when " +
	"the entry could not be reached."

type checkCommand struct {
	env *environment
	outputFlags
	Against  string `long:"against" value-name:"FILE" description:"file with the configuration in force, to print the changes"`
	Entry    string `long:"entry" value-name:"HOST:PORT" description:"caller_address of an entry, to print the changes"`
	Token    string `long:"token" env:"HIBISCUSROUTER_TOKEN" value-name:"TOKEN" default-mask:"-" description:"viewer_token, for --entry"`
	Platform bool   `long:"platform" description:"the files are the operator's row of the platform"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"configuration file, - for standard input"`
	} `positional-args:"true" required:"true"`
}

type checkView struct {
	File     string        `json:"file"`
	Problems []problemView `json:"problems"`
	Findings []findingView `json:"findings"`
	// Against is the configuration that the changes are relative to.
	Against string       `json:"against,omitempty"`
	Changes []changeView `json:"changes,omitempty"`
}

type problemView struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

type findingView struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Rule    string `json:"rule"`
	Subject string `json:"subject"`
	Message string `json:"message"`
}

// checkedFile is a configuration file with its problems and findings.
type checkedFile struct {
	name     string
	version  uint64
	document *hibiscusstate.Document
	problems []hibiscusprotocol.ConfigurationProblem
	findings []hibiscusprotocol.ConfigurationFinding
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	switch {
	case c.Against != "" && c.Entry != "":
		return errors.Mark(errors.New("--against and --entry exclude each other"), errUsage)
	case c.Entry != "" && c.Platform:
		return errors.Mark(errors.New("entries of the platform have no configuration API; give the row in force with --against"), errUsage)
	}
	file, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	view := newCheckView(file)
	if len(file.problems) == 0 {
		if err := c.compare(file, &view); err != nil {
			return err
		}
	}
	if err := c.print(file, view); err != nil {
		return err
	}
	switch {
	case len(view.Problems) > 0:
		return errors.Mark(errors.Newf("%s has %d errors; nothing was changed", c.Args.File, len(view.Problems)), errUsage)
	case len(view.Findings) > 0:
		return errors.Newf("%s has %d findings; nothing was changed", c.Args.File, len(view.Findings))
	}
	return nil
}

// read reads and checks a file.
func (c *checkCommand) read(name string) (checkedFile, error) {
	text, err := readFile(name)
	if err != nil {
		return checkedFile{}, errors.Mark(err, errUsage)
	}
	file := checkedFile{name: name}
	if !c.Platform {
		file.document, file.problems, file.findings = hibiscusprotocol.InspectConfiguration(text)
		return file, nil
	}
	configuration, problems, findings := hibiscusplatform.CheckConfiguration(text)
	file.problems, file.findings = problems, findings
	if configuration != nil {
		file.version, file.document = configuration.Version(), configuration.Document()
	}
	return file, nil
}

// compare adds the changes to the configuration of the flags to the view.
func (c *checkCommand) compare(file checkedFile, view *checkView) error {
	var before *hibiscusstate.Document
	switch {
	case c.Against != "":
		against, err := c.read(c.Against)
		if err != nil {
			return err
		}
		if len(against.problems) > 0 {
			p := against.problems[0]
			return errors.Mark(errors.Newf("%s:%d:%d: %s", c.Against, p.Line(), p.Column(), p.Message()), errUsage)
		}
		before, view.Against = against.document, c.Against
		if c.Platform && file.version <= against.version {
			view.Findings = append(view.Findings, findingView{
				Line: 1, Column: 1, Rule: hibiscuscoordination.FindingIgnored.String(), Subject: "Version",
				Message: fmt.Sprintf("%d is not above %d, the version in force; entries ignore the row", file.version, against.version),
			})
		}
	case c.Entry != "":
		flags := configurationFlags{operatorFlags{adminFlags: adminFlags{Entry: c.Entry, Token: c.Token}}, c.outputFlags}
		current, err := flags.version(c.env, "current")
		switch {
		case errors.Is(err, errUnreachable):
			return err
		case err != nil:
			// Exit code 1 stands for findings only.
			return errors.Mark(err, errUsage)
		}
		configuration, err := current.configuration()
		if err != nil {
			return err
		}
		before, view.Against = configuration.Document(), fmt.Sprintf("version %d", current.Version)
	default:
		return nil
	}
	view.Changes = newChangeViews(hibiscuscoordination.Plan(before, file.document))
	return nil
}

func newCheckView(file checkedFile) checkView {
	view := checkView{File: file.name, Problems: make([]problemView, len(file.problems)), Findings: make([]findingView, len(file.findings))}
	for i, p := range file.problems {
		view.Problems[i] = problemView{Line: p.Line(), Column: p.Column(), Message: p.Message()}
	}
	for i, f := range file.findings {
		view.Findings[i] = findingView{
			Line: f.Line(), Column: f.Column(), Rule: f.Finding().Rule().String(), Subject: f.Finding().Subject(), Message: f.Finding().Message(),
		}
	}
	return view
}

func (c *checkCommand) print(file checkedFile, view checkView) error {
	if c.Output == "json" {
		return c.env.printJSON(view)
	}
	for _, p := range view.Problems {
		c.env.printf("%s:%d:%d: %s\n", view.File, p.Line, p.Column, p.Message)
	}
	for _, f := range view.Findings {
		c.env.printf("%s:%d:%d: %s: %s: %s\n", view.File, f.Line, f.Column, f.Rule, f.Subject, f.Message)
	}
	if len(view.Problems)+len(view.Findings) == 0 {
		c.env.printf("%s: correct: %d services, %d teams\n", view.File, len(file.document.Services()), len(file.document.Teams()))
	}
	if view.Against != "" {
		c.env.printf("%d changes to %s\n", len(view.Changes), view.Against)
		c.env.printChanges(view.Changes)
	}
	return nil
}

// printJSON prints a value as one JSON document.
func (e *environment) printJSON(v any) error {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(v), "print the answer")
}
