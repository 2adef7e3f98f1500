package hibiscusprotocol

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// The operators' configuration is YAML:
//
//	services:
//	  - name: sighting
//	    depends_on: [taxonomy]
//	    kinds:
//	      - {name: list_sync, idempotent: false, urgent: true, run_ms: 400, deadline_ms: 5000}
//	teams:
//	  - {name: nokkhao, share: 60, max_queued: 20000}
//	limits: {max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000}
//
// A configuration with an error is never applied: all of them, including those in frames from other processes, are parsed by
// ParseConfiguration.

// ParseConfiguration returns the document of a configuration. Its errors are marked ErrBadConfiguration and list each problem
// on a line of its own, with name as the file.
func ParseConfiguration(name string, text []byte) (*hibiscusstate.Document, error) {
	d, problems := CheckConfiguration(text)
	if len(problems) == 0 {
		return d, nil
	}
	return nil, errors.Mark(errors.Newf("%s", formatProblems(name, problems)), ErrBadConfiguration)
}

// formatProblems returns one line for each problem, with file, line, column and message.
func formatProblems(name string, problems []ConfigurationProblem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", name, p.line, p.column, p.message)
	}
	return strings.Join(lines, "\n")
}
