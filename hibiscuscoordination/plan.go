package hibiscuscoordination

import (
	"fmt"
	"slices"
	"strings"

	"hibiscusrouter/hibiscusstate"
)

// A plan lists the changes of a new configuration text and whom they affect, before it is applied. Documents are compared, not
// lines, so a moved or reformatted part is no change.

// Change is one difference between two documents.
type Change struct {
	subject string
	what    string
	affects string
}

// Subject returns what changes, such as "team nokkhao".
func (c Change) Subject() string { return c.subject }

// What returns how it changes, such as "share 60 -> 70".
func (c Change) What() string { return c.what }

// Affects returns whom the change affects.
func (c Change) Affects() string { return c.affects }

// Plan returns the differences between two documents, services first; a nil document has no services and teams.
func Plan(before, after *hibiscusstate.Document) []Change {
	if before == nil {
		before = hibiscusstate.NewDocument(nil, nil)
	}
	p := &comparison{before: before, after: after}
	for _, s := range before.Services() {
		if _, ok := after.Service(s.Name()); !ok {
			p.add("service "+s.Name(), "removed", "callers of "+s.Name()+": new jobs are refused unknown_service; its agents get no work")
		}
	}
	for _, s := range after.Services() {
		p.compareService(s)
	}
	for _, t := range before.Teams() {
		if _, ok := after.Team(t.Name()); !ok {
			p.add(TeamSubject(t.Name()), "removed", "team "+t.Name()+": new jobs are refused unknown_team")
		}
	}
	for _, t := range after.Teams() {
		p.compareTeam(t)
	}
	return p.changes
}

// Summarize returns the differences in one line, the first few by name.
func Summarize(changes []Change) string {
	const shown = 5
	if len(changes) == 0 {
		return "no change in services, kinds, dependencies and teams"
	}
	parts := make([]string, 0, shown+1)
	for _, c := range changes[:min(len(changes), shown)] {
		parts = append(parts, c.subject+": "+c.what)
	}
	if more := len(changes) - shown; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, "; ")
}

type comparison struct {
	before  *hibiscusstate.Document
	after   *hibiscusstate.Document
	changes []Change
}

func (p *comparison) add(subject, what, affects string) {
	p.changes = append(p.changes, Change{subject: subject, what: what, affects: affects})
}

func (p *comparison) compareService(s hibiscusstate.Service) {
	old, ok := p.before.Service(s.Name())
	if !ok {
		p.add("service "+s.Name(), fmt.Sprintf("added with %d kinds", len(s.Kinds())), "nobody until callers and endpoints use it")
		return
	}
	for _, d := range old.DependsOn() {
		if !slices.Contains(s.DependsOn(), d) {
			p.add("service "+s.Name(), "no longer depends on "+d, "callers of "+s.Name()+": served even while "+d+" is down")
		}
	}
	for _, d := range s.DependsOn() {
		if !slices.Contains(old.DependsOn(), d) {
			p.add("service "+s.Name(), "now depends on "+d, "callers of "+s.Name()+": refused dependency_down while "+d+" has no live endpoint")
		}
	}
	for _, k := range old.Kinds() {
		if _, ok := s.Kind(k.Name()); !ok {
			p.add(KindSubject(s.Name(), k.Name()), "removed", "callers of the kind: new jobs are refused unknown_kind")
		}
	}
	for _, k := range s.Kinds() {
		p.compareKind(s.Name(), old, k)
	}
}

func (p *comparison) compareKind(service string, old hibiscusstate.Service, k hibiscusstate.Kind) {
	subject := KindSubject(service, k.Name())
	was, ok := old.Kind(k.Name())
	if !ok {
		p.add(subject, "added", "nobody until callers use it")
		return
	}
	if was.Idempotent() != k.Idempotent() {
		p.add(subject, fmt.Sprintf("idempotent %t -> %t", was.Idempotent(), k.Idempotent()),
			"callers of the kind: whether they may submit again under a new key")
	}
	if was.Urgent() != k.Urgent() {
		p.add(subject, fmt.Sprintf("urgent %t -> %t", was.Urgent(), k.Urgent()), "callers of "+service)
	}
	if was.RunTime() != k.RunTime() {
		p.add(subject, fmt.Sprintf("run_ms %d -> %d", was.RunTime().Milliseconds(), k.RunTime().Milliseconds()),
			"callers of "+service+": estimates until run times are learned again")
	}
	if was.Deadline() != k.Deadline() {
		p.add(subject, fmt.Sprintf("deadline_ms %d -> %d", was.Deadline().Milliseconds(), k.Deadline().Milliseconds()),
			"callers of the kind that name no deadline")
	}
	if was.Weight() != k.Weight() || was.MinSharePercent() != k.MinSharePercent() {
		p.add(subject, fmt.Sprintf("weight %d -> %d, min_share_percent %d -> %d", was.Weight(), k.Weight(), was.MinSharePercent(),
			k.MinSharePercent()), "callers of "+service+" while capacity is short: which kinds are refused")
	}
	if was.Host() != k.Host() || was.PathPrefix() != k.PathPrefix() {
		p.add(subject, fmt.Sprintf("address %s -> %s", address(was), address(k)), "callers of the kind: requests to the former address")
	}
	if was.MaxAttempts() != k.MaxAttempts() {
		p.add(subject, fmt.Sprintf("attempts %d -> %d", was.MaxAttempts(), k.MaxAttempts()), "callers of the kind whose tasks fail")
	}
	if was.Priority() != k.Priority() {
		p.add(subject, fmt.Sprintf("priority %d -> %d", was.Priority(), k.Priority()), "callers of "+service+": the order of waiting tasks")
	}
	if was.Stretch() != k.Stretch() || was.Target() != k.Target() {
		p.add(subject, fmt.Sprintf("objective %s -> %s", objective(was), objective(k)),
			"callers of "+service+": the order of waiting tasks, and which jobs are refused as too late")
	}
}

// address returns the host and the path prefix of a kind for a plan.
func address(k hibiscusstate.Kind) string {
	if k.Host() == "" {
		return "none"
	}
	return k.Host() + k.PathPrefix()
}

// objective returns the objective of a kind for a plan.
func objective(k hibiscusstate.Kind) string {
	if k.Stretch() == 0 {
		return "none"
	}
	return fmt.Sprintf("%g x run time + %d ms", k.Stretch(), k.Target().Milliseconds())
}

func (p *comparison) compareTeam(t hibiscusstate.Team) {
	subject := TeamSubject(t.Name())
	was, ok := p.before.Team(t.Name())
	if !ok {
		p.add(subject, fmt.Sprintf("added with share %d, max_queued %d", t.Share(), t.MaxQueued()), p.shareEffect(t.Name()))
		return
	}
	if was.Share() != t.Share() {
		p.add(subject, fmt.Sprintf("share %d -> %d", was.Share(), t.Share()), p.shareEffect(t.Name()))
	}
	if was.MaxQueued() != t.MaxQueued() {
		p.add(subject, fmt.Sprintf("max_queued %d -> %d", was.MaxQueued(), t.MaxQueued()), subject)
	}
}

// shareEffect describes the percentage of the slots that a team gets when all teams have queued tasks, before and after.
func (p *comparison) shareEffect(team string) string {
	return fmt.Sprintf("team %s: %s -> %s of the slots when all teams compete; the other teams share the rest",
		team, sharePercent(p.before, team), sharePercent(p.after, team))
}

func sharePercent(d *hibiscusstate.Document, team string) string {
	total, own := 0, 0
	for _, t := range d.Teams() {
		total += t.Share()
		if t.Name() == team {
			own = t.Share()
		}
	}
	return fmt.Sprintf("%.0f%%", 100*float64(own)/float64(max(total, 1)))
}
