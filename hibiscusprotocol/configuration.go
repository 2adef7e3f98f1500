package hibiscusprotocol

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// The operators' text is YAML:
//
//	services:
//	  - name: sighting
//	    depends_on: [taxonomy]
//	    kinds:
//	      - {name: list_sync, idempotent: false, urgent: true, run_ms: 400, deadline_ms: 5000}
//	teams:
//	  - {name: nokkhao, share: 60, max_queued: 20000}
//
// A text with an error is never applied: every way in, including a frame from another process, goes through ParseConfiguration.

// ParseConfiguration returns the document of an operators' text; name stands for the file in errors, which are marked
// ErrBadConfiguration and name every problem on a line of its own.
func ParseConfiguration(name string, text []byte) (*hibiscusstate.Document, error) {
	d, problems := CheckConfiguration(text)
	if len(problems) == 0 {
		return d, nil
	}
	return nil, errors.Mark(errors.Newf("%s", formatProblems(name, problems)), ErrBadConfiguration)
}

// formatProblems returns one line for each problem: file, line, column, message.
func formatProblems(name string, problems []ConfigurationProblem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", name, p.line, p.column, p.message)
	}
	return strings.Join(lines, "\n")
}
