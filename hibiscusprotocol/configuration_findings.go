package hibiscusprotocol

import (
	"cmp"
	"slices"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// ConfigurationFinding is a finding with its position in the text, counted from one.
type ConfigurationFinding struct {
	finding hibiscuscoordination.Finding
	line    int
	column  int
}

// NewConfigurationFinding returns a finding at a position of a text.
func NewConfigurationFinding(finding hibiscuscoordination.Finding, line, column int) ConfigurationFinding {
	return ConfigurationFinding{finding: finding, line: line, column: column}
}

// Finding returns what can't work.
func (f ConfigurationFinding) Finding() hibiscuscoordination.Finding { return f.finding }

// Line returns the line of the finding, counted from one.
func (f ConfigurationFinding) Line() int { return f.line }

// Column returns the column of the finding, counted from one.
func (f ConfigurationFinding) Column() int { return f.column }

// NewConfigurationProblem returns an error of a configuration at a position of its text.
func NewConfigurationProblem(line, column int, message string) ConfigurationProblem {
	return ConfigurationProblem{line: line, column: column, message: message}
}

// InspectConfiguration returns the document of a configuration and its findings in the order of their positions, or all its problems.
func InspectConfiguration(text []byte) (*hibiscusstate.Document, []ConfigurationProblem, []ConfigurationFinding) {
	c := newConfigurationChecker()
	d, problems := c.check(text)
	if len(problems) > 0 {
		return nil, problems, nil
	}
	var findings []ConfigurationFinding
	for _, f := range hibiscuscoordination.Findings(d) {
		line, column := 1, 1
		if n := c.subjects[f.Subject()]; n != nil {
			line, column = n.GetToken().Position.Line, n.GetToken().Position.Column
		}
		findings = append(findings, NewConfigurationFinding(f, line, column))
	}
	SortFindings(findings)
	return d, nil, findings
}

// SortFindings sorts findings by their positions.
func SortFindings(findings []ConfigurationFinding) {
	slices.SortStableFunc(findings, func(a, b ConfigurationFinding) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
}
