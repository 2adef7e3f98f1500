package hibiscusprotocol

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// A configuration is checked by a walk of its syntax tree instead of unmarshalling, because an operator needs every error at
// once with its position, and unmarshalling stops at the first. A method that reads a value returns a usable zero value after
// it recorded a problem, so that the walk continues.

// Bounds of a configuration. A value in a wrong unit (seconds for milliseconds, or the reverse) is usually out of bounds.
const (
	maxConfigurationBytes = 1 << 20
	maxNameLength         = 63
	// maxAddressLength bounds a host or a path prefix.
	maxAddressLength = 1024
	maxRunTime       = time.Hour
	maxDeadline      = 24 * time.Hour
	maxShare         = 10_000
	maxWeight        = 1000
	maxPercent       = 100
	maxAttempts      = 100
	maxPriority      = 100
	maxStretch       = 1000
	// maxQueuedBound is the maximum number of tasks that wait at one entry for one service.
	maxQueuedBound = 100_000
	// The bounds of the limits of requests. net/http reads at most a megabyte of a head.
	maxHeadBytes = 1 << 20
	maxLimitTime = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]*$`)

// ConfigurationProblem is one error of a configuration, with its position, counted from one, and what was expected there.
type ConfigurationProblem struct {
	line    int
	column  int
	message string
}

// Line returns the line of the problem, counted from one.
func (p ConfigurationProblem) Line() int { return p.line }

// Column returns the column of the problem, counted from one.
func (p ConfigurationProblem) Column() int { return p.column }

// Message returns what is wrong and what was expected.
func (p ConfigurationProblem) Message() string { return p.message }

// CheckConfiguration returns the document of a configuration, or all its problems in the order of their positions.
func CheckConfiguration(text []byte) (*hibiscusstate.Document, []ConfigurationProblem) {
	return newConfigurationChecker().check(text)
}

func newConfigurationChecker() *configurationChecker {
	return &configurationChecker{subjects: names{}}
}

// check returns the document of a configuration, or all its problems.
func (c *configurationChecker) check(text []byte) (*hibiscusstate.Document, []ConfigurationProblem) {
	if len(text) > maxConfigurationBytes {
		c.addProblem(1, 1, "the text has %d bytes; at most %d are allowed", len(text), maxConfigurationBytes)
		return nil, c.problems
	}
	file, err := parseYAML(text)
	if err != nil {
		c.addSyntaxError(err)
		return nil, c.problems
	}
	d := c.document(file)
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b ConfigurationProblem) int {
			return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
		})
		return nil, c.problems
	}
	return d, nil
}

// configurationChecker collects the services, dependencies and problems of one configuration.
type configurationChecker struct {
	problems []ConfigurationProblem
	// subjects has the names of kinds and teams by the subject of findings about them.
	subjects     names
	services     []hibiscusstate.Service
	dependencies []dependency
}

// dependency is one edge of the dependency graph of services, with the node that declares it.
type dependency struct {
	from string
	to   string
	node ast.Node
}

// field is an allowed field of a mapping, with the function that reads its value.
type field struct {
	name     string
	required bool
	read     func(ast.Node)
}

func (c *configurationChecker) addProblem(line, column int, format string, args ...any) {
	c.problems = append(c.problems, ConfigurationProblem{line: line, column: column, message: fmt.Sprintf(format, args...)})
}

func (c *configurationChecker) addNodeProblem(n ast.Node, format string, args ...any) {
	line, column := 1, 1
	if token := n.GetToken(); token != nil {
		line, column = token.Position.Line, token.Position.Column
	}
	c.addProblem(line, column, format, args...)
}

func (c *configurationChecker) addSyntaxError(err error) {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		c.addProblem(syntax.GetToken().Position.Line, syntax.GetToken().Position.Column, "the text is not YAML: %s", syntax.GetMessage())
		return
	}
	c.addProblem(1, 1, "the text is not YAML: %v", err)
}

func (c *configurationChecker) document(file *ast.File) *hibiscusstate.Document {
	var teams []hibiscusstate.Team
	var limits hibiscusstate.RequestLimits
	bodies := 0
	for _, d := range file.Docs {
		if d.Body == nil {
			continue
		}
		if bodies++; bodies > 1 {
			c.addNodeProblem(d.Body, "the text has a second document; expected one mapping with services and teams")
			continue
		}
		serviceNames, teamNames := names{}, names{}
		c.mapping(d.Body, "the text",
			field{"services", true, func(n ast.Node) {
				c.checkList(n, "services", func(item ast.Node) { c.service(item, serviceNames) })
			}},
			field{"teams", true, func(n ast.Node) {
				c.checkList(n, "teams", func(item ast.Node) { teams = append(teams, c.team(item, teamNames)) })
			}},
			field{"limits", false, func(n ast.Node) { limits = c.limits(n) }},
		)
		for team, n := range teamNames {
			c.subjects[hibiscuscoordination.TeamSubject(team)] = n
		}
		c.checkDependencies(serviceNames)
	}
	if bodies == 0 {
		c.addProblem(1, 1, "the text is empty; expected services and teams")
	}
	return hibiscusstate.NewDocument(c.services, teams).WithLimits(limits)
}

func (c *configurationChecker) service(n ast.Node, known names) {
	var name string
	var dependsOn []string
	var dependencyNodes []ast.Node
	var kinds []hibiscusstate.Kind
	kindNames, dependencyNames, promised := names{}, names{}, 0
	c.mapping(n, "a service",
		field{"name", true, func(n ast.Node) { name = c.name(n, "service", known) }},
		field{"depends_on", false, func(n ast.Node) {
			c.checkList(n, "depends_on", func(item ast.Node) {
				if to := c.name(item, "dependency", dependencyNames); to != "" {
					dependsOn = append(dependsOn, to)
					dependencyNodes = append(dependencyNodes, item)
				}
			})
		}},
		field{"kinds", true, func(n ast.Node) {
			c.checkList(n, "kinds", func(item ast.Node) { kinds = append(kinds, c.kind(item, kindNames, &promised)) })
		}},
	)
	for i, to := range dependsOn {
		c.dependencies = append(c.dependencies, dependency{from: name, to: to, node: dependencyNodes[i]})
	}
	for kind, n := range kindNames {
		c.subjects[hibiscuscoordination.KindSubject(name, kind)] = n
	}
	c.services = append(c.services, hibiscusstate.NewService(name, dependsOn, kinds))
}

// kind reads a kind, and adds its least share to those that are promised. Without the field idempotent it is not idempotent, the safe
// default.
func (c *configurationChecker) kind(n ast.Node, known names, promised *int) hibiscusstate.Kind {
	var name string
	var idempotent, urgent bool
	var runTime, deadline time.Duration
	var host, pathPrefix string
	var stretch float64
	var target time.Duration
	attempts, priority, weight, minShare := int64(1), int64(0), int64(0), int64(0)
	var deadlineNode ast.Node
	c.mapping(n, "a kind",
		field{"name", true, func(n ast.Node) { name = c.name(n, "kind", known) }},
		field{"idempotent", false, func(n ast.Node) { idempotent = c.boolean(n, "idempotent") }},
		field{"urgent", false, func(n ast.Node) { urgent = c.boolean(n, "urgent") }},
		field{"run_ms", true, func(n ast.Node) { runTime = milliseconds(c.integer(n, "run_ms", maxRunTime.Milliseconds())) }},
		field{"deadline_ms", true, func(n ast.Node) {
			deadlineNode = n
			deadline = milliseconds(c.integer(n, "deadline_ms", maxDeadline.Milliseconds()))
		}},
		field{"host", false, func(n ast.Node) { host = c.printable(n, "host") }},
		field{"path_prefix", false, func(n ast.Node) { pathPrefix = c.printable(n, "path_prefix") }},
		field{"attempts", false, func(n ast.Node) { attempts = c.integer(n, "attempts", maxAttempts) }},
		field{"priority", false, func(n ast.Node) { priority = c.integer(n, "priority", maxPriority) }},
		field{"stretch", false, func(n ast.Node) { stretch = c.number(n, "stretch", maxStretch) }},
		field{"target_ms", false, func(n ast.Node) { target = milliseconds(c.integer(n, "target_ms", maxDeadline.Milliseconds())) }},
		field{"weight", false, func(n ast.Node) { weight = c.integer(n, "weight", maxWeight) }},
		field{"min_share_percent", false, func(n ast.Node) {
			minShare = c.integer(n, "min_share_percent", maxPercent)
			if *promised += int(minShare); *promised > maxPercent && minShare > 0 {
				c.addNodeProblem(n, "min_share_percent of the kinds up to this one add up to %d; expected at most %d", *promised, maxPercent)
			}
		}},
	)
	if deadline > 0 && deadline < runTime {
		c.addNodeProblem(deadlineNode, "deadline_ms %d is below run_ms %d; such a task could never be on time; expected %d to %d",
			deadline.Milliseconds(), runTime.Milliseconds(), runTime.Milliseconds(), maxDeadline.Milliseconds())
	}
	return hibiscusstate.NewKind(name, idempotent, urgent, runTime, deadline).WithAddress(host, pathPrefix).
		WithMaxAttempts(int(attempts)).WithPriority(int(priority)).WithObjective(stretch, target).
		WithShare(int(weight), int(minShare))
}

func (c *configurationChecker) team(n ast.Node, known names) hibiscusstate.Team {
	var name string
	var share, maxQueued int64
	c.mapping(n, "a team",
		field{"name", true, func(n ast.Node) { name = c.name(n, "team", known) }},
		field{"share", true, func(n ast.Node) { share = c.integer(n, "share", maxShare) }},
		field{"max_queued", true, func(n ast.Node) { maxQueued = c.integer(n, "max_queued", maxQueuedBound) }},
	)
	return hibiscusstate.NewTeam(name, int(share), int(maxQueued))
}

// limits reads the limits of callers' requests; a field that is left out has the default of the process.
func (c *configurationChecker) limits(n ast.Node) hibiscusstate.RequestLimits {
	var headBytes, bodyBytes, headTimeout, idleTimeout int64
	c.mapping(n, "limits",
		field{"max_header_bytes", false, func(n ast.Node) { headBytes = c.integer(n, "max_header_bytes", maxHeadBytes) }},
		field{"max_body_bytes", false, func(n ast.Node) { bodyBytes = c.integer(n, "max_body_bytes", maxBodyBytes) }},
		field{"header_timeout_ms", false, func(n ast.Node) {
			headTimeout = c.integer(n, "header_timeout_ms", maxLimitTime.Milliseconds())
		}},
		field{"idle_timeout_ms", false, func(n ast.Node) { idleTimeout = c.integer(n, "idle_timeout_ms", maxLimitTime.Milliseconds()) }},
	)
	return hibiscusstate.NewRequestLimits(int(headBytes), int(bodyBytes), milliseconds(headTimeout), milliseconds(idleTimeout))
}

// mapping reads the fields of a mapping, each once, and reports unknown, repeated and missing ones.
func (c *configurationChecker) mapping(n ast.Node, what string, fields ...field) {
	values, ok := mappingValues(n)
	if !ok {
		c.addNodeProblem(n, "%s is %s; expected a mapping with %s", what, describe(n), fieldNames(fields))
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.GetToken().Value
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == key })
		switch {
		case i < 0:
			c.addNodeProblem(v.Key, "unknown field %q in %s; expected %s", key, what, fieldNames(fields))
		case seen[key]:
			c.addNodeProblem(v.Key, "field %q is repeated in %s", key, what)
		default:
			fields[i].read(v.Value)
		}
		seen[key] = true
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			c.addNodeProblem(firstKey(n, values), "%s has no %s; expected %s", what, f.name, fieldNames(fields))
		}
	}
}

// checkList calls checkItem for each item of the list in a field; only depends_on may be empty.
func (c *configurationChecker) checkList(n ast.Node, field string, checkItem func(ast.Node)) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		c.addNodeProblem(n, "%s is %s; expected a list", field, describe(n))
		return
	}
	if len(s.Values) == 0 && field != "depends_on" {
		c.addNodeProblem(n, "%s is an empty list; expected at least one", field)
	}
	for _, item := range s.Values {
		checkItem(item)
	}
}

// names maps each name in a list to the node of its first use.
type names map[string]ast.Node

func (c *configurationChecker) name(n ast.Node, what string, known names) string {
	s, ok := n.(*ast.StringNode)
	if !ok || len(s.Value) > maxNameLength || !namePattern.MatchString(s.Value) {
		c.addNodeProblem(n, "%s name %s is not valid; expected a lower case letter, then letters, digits, _ or -, at most %d in all",
			what, describe(n), maxNameLength)
		return ""
	}
	if first := known[s.Value]; first != nil {
		c.addNodeProblem(n, "%s %q is repeated; it is first on line %d", what, s.Value, first.GetToken().Position.Line)
		return s.Value
	}
	known[s.Value] = n
	return s.Value
}

func (c *configurationChecker) boolean(n ast.Node, what string) bool {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		c.addNodeProblem(n, "%s is %s; expected true or false", what, describe(n))
		return false
	}
	return b.Value
}

// integer reads a whole number from one to most, and returns zero for an invalid value.
func (c *configurationChecker) integer(n ast.Node, what string, most int64) int64 {
	value, err := strconv.ParseInt(strings.ReplaceAll(n.GetToken().Value, "_", ""), 10, 64)
	if _, ok := n.(*ast.IntegerNode); !ok || err != nil {
		c.addNodeProblem(n, "%s is %s; expected a whole number from 1 to %d", what, describe(n), most)
		return 0
	}
	if value < 1 || value > most {
		c.addNodeProblem(n, "%s is %d; expected a whole number from 1 to %d", what, value, most)
		return 0
	}
	return value
}

// printable reads a string of printable characters without spaces, like a host or a path.
func (c *configurationChecker) printable(n ast.Node, what string) string {
	s, ok := n.(*ast.StringNode)
	if !ok || s.Value == "" || len(s.Value) > maxAddressLength || strings.ContainsFunc(s.Value, func(r rune) bool { return r <= ' ' }) {
		c.addNodeProblem(n, "%s is %s; expected a text without spaces of at most %d characters", what, describe(n), maxAddressLength)
		return ""
	}
	return s.Value
}

// number reads a number from one to most, and returns zero for an invalid value.
func (c *configurationChecker) number(n ast.Node, what string, most float64) float64 {
	value, err := strconv.ParseFloat(n.GetToken().Value, 64)
	if err != nil || !(value >= 1 && value <= most) {
		c.addNodeProblem(n, "%s is %s; expected a number from 1 to %g", what, describe(n), most)
		return 0
	}
	return value
}

// checkDependencies reports dependencies on unknown services, and every cycle once, at the dependency that closes it.
func (c *configurationChecker) checkDependencies(known names) {
	edges := map[string][]dependency{}
	for _, d := range c.dependencies {
		if known[d.to] == nil {
			c.addNodeProblem(d.node, "service %q depends on unknown service %q; expected one of %s", d.from, d.to, listNames(known))
			continue
		}
		edges[d.from] = append(edges[d.from], d)
	}
	done := map[string]bool{}
	var path []string
	var visit func(name string)
	visit = func(name string) {
		path = append(path, name)
		for _, d := range edges[name] {
			if i := slices.Index(path, d.to); i >= 0 {
				c.addNodeProblem(d.node, "services depend on each other in a cycle: %s", strings.Join(append(slices.Clone(path[i:]), d.to), " -> "))
			} else if !done[d.to] {
				visit(d.to)
			}
		}
		path = path[:len(path)-1]
		done[name] = true
	}
	for _, s := range c.services {
		if !done[s.Name()] {
			visit(s.Name())
		}
	}
}

func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// firstKey returns the node at the start of a mapping: its first key, because the token of a block mapping is its first colon.
func firstKey(n ast.Node, values []*ast.MappingValueNode) ast.Node {
	if len(values) == 0 {
		return n
	}
	return values[0].Key
}

// describe returns what a value is, for an error message "x is ...".
func describe(n ast.Node) string {
	switch v := n.(type) {
	case *ast.NullNode:
		return "empty"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode:
		return "an anchor or alias"
	case *ast.StringNode:
		return strconv.Quote(v.Value)
	default:
		return n.GetToken().Value
	}
}

func fieldNames(fields []field) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.name
	}
	return strings.Join(list, ", ")
}

// listNames returns the first names in sorted order, and the number of the others.
func listNames(known names) string {
	const shown = 8
	list := make([]string, 0, len(known))
	for name := range known {
		list = append(list, name)
	}
	slices.Sort(list)
	if len(list) > shown {
		return strings.Join(list[:shown], ", ") + fmt.Sprintf(" and %d more", len(list)-shown)
	}
	return strings.Join(list, ", ")
}

// milliseconds returns a duration; values beyond the longest duration are clamped to it.
func milliseconds(ms int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(ms, -most), most)) * time.Millisecond
}
