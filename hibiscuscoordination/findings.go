package hibiscuscoordination

import (
	"fmt"
	"strings"
	"time"

	"hibiscusrouter/hibiscusstate"
)

//go:generate stringer -type=FindingRule -linecomment -output=findings_string.go

// Findings are the parts of a valid configuration that can't work as written: what no caller can reach, and limits that contradict each
// other. An entry accepts such a configuration; an operator learns of it before the configuration is sent.

// FindingRule is the kind of a finding.
type FindingRule int

// The kinds of findings.
const (
	FindingUnreachable   FindingRule = iota // unreachable
	FindingContradiction                    // contradiction
	FindingIgnored                          // ignored
)

// Finding is one part of a configuration that can't work as written.
type Finding struct {
	rule    FindingRule
	subject string
	message string
}

// NewFinding returns a finding about a subject such as "team nokkhao".
func NewFinding(rule FindingRule, subject, message string) Finding {
	return Finding{rule: rule, subject: subject, message: message}
}

// Rule returns the kind of the finding.
func (f Finding) Rule() FindingRule { return f.rule }

// Subject returns what the finding is about, as in the changes of a plan.
func (f Finding) Subject() string { return f.subject }

// Message returns what can't work, and why.
func (f Finding) Message() string { return f.message }

// KindSubject returns the subject of findings and changes about a kind.
func KindSubject(service, kind string) string { return "kind " + service + "/" + kind }

// TeamSubject returns the subject of findings and changes about a team.
func TeamSubject(team string) string { return "team " + team }

// Findings returns the findings of a document, in its order.
func Findings(d *hibiscusstate.Document) []Finding {
	i := &inspection{}
	for _, s := range d.Services() {
		for _, k := range s.Kinds() {
			i.kinds = append(i.kinds, addressedKind{subject: KindSubject(s.Name(), k.Name()), kind: k})
		}
	}
	for n, k := range i.kinds {
		i.inspectAddress(n, k)
		i.inspectLimits(k)
	}
	for _, t := range d.Teams() {
		if t.MaxQueued() < maxTasks {
			i.add(FindingContradiction, TeamSubject(t.Name()),
				"max_queued %d is below the %d tasks that a job may have; larger jobs are refused over_quota while a task of the team waits",
				t.MaxQueued(), maxTasks)
		}
	}
	return i.findings
}

// addressedKind is a kind with its subject.
type addressedKind struct {
	subject string
	kind    hibiscusstate.Kind
}

type inspection struct {
	kinds    []addressedKind
	findings []Finding
}

func (i *inspection) add(rule FindingRule, subject, format string, args ...any) {
	i.findings = append(i.findings, NewFinding(rule, subject, fmt.Sprintf(format, args...)))
}

// inspectAddress reports a kind whose host and path prefix match no request, because of their form or of another kind. A request goes to
// the kind with the longest matching prefix, and among equal ones to the first.
func (i *inspection) inspectAddress(n int, k addressedKind) {
	host, prefix := k.kind.Host(), k.kind.PathPrefix()
	if host == "" {
		i.inspectMissingHost(k)
		return
	}
	switch {
	case strings.Contains(host, ":"):
		i.add(FindingUnreachable, k.subject, "host %q has a port; requests are matched without it", host)
	case strings.Contains(host, "/"):
		i.add(FindingUnreachable, k.subject, "host %q is not a host name", host)
	case strings.ToLower(host) != host:
		i.add(FindingUnreachable, k.subject, "host %q has upper case letters; many clients send hosts in lower case, and the match is exact",
			host)
	}
	switch {
	case prefix != "" && !strings.HasPrefix(prefix, "/"):
		i.add(FindingUnreachable, k.subject, "path_prefix %q does not begin with /, as all paths do", prefix)
	case strings.ContainsAny(prefix, "?#"):
		i.add(FindingUnreachable, k.subject, "path_prefix %q has a query or a fragment, which no path has", prefix)
	}
	for m, other := range i.kinds {
		switch {
		case other.kind.Host() != host || m == n:
		case other.kind.PathPrefix() == prefix && m < n:
			i.add(FindingUnreachable, k.subject, "%s has the same host and path_prefix and is first, so it gets all requests", other.subject)
		case extendsSegment(prefix, other.kind.PathPrefix()):
			i.add(FindingUnreachable, k.subject, "requests for %s that begin with %q go to %s, whose path_prefix is longer",
				prefix, other.kind.PathPrefix()[len(prefix):], other.subject)
		}
	}
}

// inspectMissingHost reports a kind without an address among others that have one.
func (i *inspection) inspectMissingHost(k addressedKind) {
	if k.kind.PathPrefix() != "" {
		i.add(FindingUnreachable, k.subject, "path_prefix %q has no effect without a host", k.kind.PathPrefix())
		return
	}
	for _, other := range i.kinds {
		if other.kind.Host() != "" {
			i.add(FindingUnreachable, k.subject, "it has no host, and %s has one: callers that address kinds by host and path can't reach it",
				other.subject)
			return
		}
	}
}

// extendsSegment reports whether a longer prefix continues the last segment of a path after a prefix, so that it matches names there.
func extendsSegment(prefix, longer string) bool {
	rest, ok := strings.CutPrefix(longer, prefix)
	return ok && rest != "" && strings.HasSuffix(prefix, "/") && !strings.Contains(rest, "/")
}

// inspectLimits reports limits of a kind that contradict each other. A deadline below the run time is an error of the text.
func (i *inspection) inspectLimits(k addressedKind) {
	runTime, deadline := k.kind.RunTime(), k.kind.Deadline()
	if objective := k.kind.Objective(runTime); objective > deadline {
		i.add(FindingContradiction, k.subject, "the objective of a task of run_ms is %d ms (stretch %g, target_ms %d), above deadline_ms %d",
			objective.Milliseconds(), k.kind.Stretch(), k.kind.Target().Milliseconds(), deadline.Milliseconds())
	}
	if k.kind.Stretch() == 0 && k.kind.Target() > 0 {
		i.add(FindingIgnored, k.subject, "target_ms %d has no effect without stretch", k.kind.Target().Milliseconds())
	}
	if attempts := k.kind.MaxAttempts(); time.Duration(attempts)*runTime > deadline {
		i.add(FindingContradiction, k.subject, "%d attempts of run_ms %d do not fit into deadline_ms %d; at most %d do",
			attempts, runTime.Milliseconds(), deadline.Milliseconds(), deadline/max(runTime, 1))
	}
}
