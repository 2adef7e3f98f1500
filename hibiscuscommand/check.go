package hibiscuscommand

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprotocol"
)

const checkHelp = "Checks a configuration text without an entry and names every error with its line and column. Exit code 0 " +
	"when the text is correct, 2 when it has errors. Nothing is changed."

type checkCommand struct {
	env *environment
	outputFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration text, - for standard input"`
	} `positional-args:"true" required:"true"`
}

type checkView struct {
	File     string        `json:"file"`
	Problems []problemView `json:"problems"`
}

type problemView struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	d, problems := hibiscusprotocol.CheckConfiguration(text)
	view := checkView{File: c.Args.File, Problems: make([]problemView, len(problems))}
	for i, p := range problems {
		view.Problems[i] = problemView{Line: p.Line(), Column: p.Column(), Message: p.Message()}
	}
	switch {
	case c.Output == "json":
		if err := c.env.printJSON(view); err != nil {
			return err
		}
	case len(problems) == 0:
		c.env.printf("%s: correct: %d services, %d teams\n", c.Args.File, len(d.Services()), len(d.Teams()))
	default:
		for _, p := range problems {
			c.env.printf("%s:%d:%d: %s\n", c.Args.File, p.Line(), p.Column(), p.Message())
		}
	}
	if len(problems) > 0 {
		return errors.Mark(errors.Newf("%s has %d errors; nothing was changed", c.Args.File, len(problems)), errUsage)
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
