package hibiscusstate

import (
	"slices"
	"strings"
	"time"
)

// Document is the parsed configuration text: services with their kinds and dependencies, and teams with their quotas.
type Document struct {
	services []Service
	teams    []Team
	limits   RequestLimits
}

// NewDocument returns a document; the order is that of the text.
func NewDocument(services []Service, teams []Team) *Document {
	return &Document{services: services, teams: teams}
}

// WithLimits returns the document with the limits of callers' requests.
func (d *Document) WithLimits(limits RequestLimits) *Document {
	d.limits = limits
	return d
}

// Limits returns the limits of callers' requests.
func (d *Document) Limits() RequestLimits { return d.limits }

// Services returns the services in the order of the text.
func (d *Document) Services() []Service { return d.services }

// Teams returns the teams in the order of the text.
func (d *Document) Teams() []Team { return d.teams }

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	i := slices.IndexFunc(d.services, func(s Service) bool { return s.name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.services[i], true
}

// Team returns the team with the given name.
func (d *Document) Team(name string) (Team, bool) {
	i := slices.IndexFunc(d.teams, func(t Team) bool { return t.name == name })
	if i < 0 {
		return Team{}, false
	}
	return d.teams[i], true
}

// KindAt returns the service and the kind that a host and a path address: the one with the longest matching path prefix.
func (d *Document) KindAt(host, path string) (service string, kind Kind, ok bool) {
	for _, s := range d.services {
		for _, k := range s.kinds {
			if k.host == host && host != "" && strings.HasPrefix(path, k.pathPrefix) && (!ok || len(k.pathPrefix) > len(kind.pathPrefix)) {
				service, kind, ok = s.name, k, true
			}
		}
	}
	return service, kind, ok
}

// Service is one service of a document.
type Service struct {
	name      string
	dependsOn []string
	kinds     []Kind
}

// NewService returns a service with its dependencies and kinds.
func NewService(name string, dependsOn []string, kinds []Kind) Service {
	return Service{name: name, dependsOn: dependsOn, kinds: kinds}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// DependsOn returns the names of the services that this one depends on.
func (s Service) DependsOn() []string { return s.dependsOn }

// Kinds returns the kinds of tasks that the service accepts.
func (s Service) Kinds() []Kind { return s.kinds }

// Kind returns the kind with the given name.
func (s Service) Kind(name string) (Kind, bool) {
	i := slices.IndexFunc(s.kinds, func(k Kind) bool { return k.name == name })
	if i < 0 {
		return Kind{}, false
	}
	return s.kinds[i], true
}

// Kind is one kind of task of a service.
type Kind struct {
	name        string
	idempotent  bool
	urgent      bool
	runTime     time.Duration
	deadline    time.Duration
	host        string
	pathPrefix  string
	maxAttempts int
	priority    int
	stretch     float64
	target      time.Duration
	weight      int
	// minSharePercent is the part of the capacity that the kind gets at least while it is short, zero for none.
	minSharePercent int
}

// DefaultKindWeight and DefaultTopKindWeight are the weights of a kind that the configuration gives none, without and with top priority. A
// kind with top priority has a larger part of its work admitted while capacity is short: its callers are the most urgent ones.
const (
	DefaultKindWeight    = 10
	DefaultTopKindWeight = 12
)

// NewKind returns a kind with its declared run time and its default deadline.
func NewKind(name string, idempotent, urgent bool, runTime, deadline time.Duration) Kind {
	return Kind{
		name: name, idempotent: idempotent, urgent: urgent, runTime: runTime, deadline: deadline, maxAttempts: 1,
	}
}

// WithAddress returns the kind with the host and the path prefix that address it.
func (k Kind) WithAddress(host, pathPrefix string) Kind {
	k.host = host
	k.pathPrefix = pathPrefix
	return k
}

// WithMaxAttempts returns the kind with the number of failures of a task after which its job fails; the default is one.
func (k Kind) WithMaxAttempts(maxAttempts int) Kind {
	k.maxAttempts = maxAttempts
	return k
}

// WithPriority returns the kind with its priority; lower numbers come first.
func (k Kind) WithPriority(priority int) Kind {
	k.priority = priority
	return k
}

// WithObjective returns the kind with its response time objective: stretch times the longest task, plus target.
func (k Kind) WithObjective(stretch float64, target time.Duration) Kind {
	k.stretch = stretch
	k.target = target
	return k
}

// WithShare returns the kind with its weight, zero for the default, and its least percentage of the capacity while that is short.
func (k Kind) WithShare(weight, minSharePercent int) Kind {
	k.weight, k.minSharePercent = weight, minSharePercent
	return k
}

// Weight returns the weight of the kind among those with an objective while capacity is short.
func (k Kind) Weight() int {
	switch {
	case k.weight > 0:
		return k.weight
	case k.TopPriority():
		return DefaultTopKindWeight
	default:
		return DefaultKindWeight
	}
}

// MinSharePercent returns the percentage of the capacity that the kind gets at least while that is short, zero for none.
func (k Kind) MinSharePercent() int { return k.minSharePercent }

// Host returns the host that addresses the kind, empty for none.
func (k Kind) Host() string { return k.host }

// PathPrefix returns the prefix of the paths that address the kind.
func (k Kind) PathPrefix() string { return k.pathPrefix }

// MaxAttempts returns the number of failures of a task after which its job fails.
func (k Kind) MaxAttempts() int { return k.maxAttempts }

// Priority returns the priority; lower numbers come first.
func (k Kind) Priority() int { return k.priority }

// TopPriority reports whether jobs of the kind go before all others.
func (k Kind) TopPriority() bool { return k.priority == 0 }

// Objective returns the response time objective of a job with this longest task, zero for a kind without an objective.
func (k Kind) Objective(longest time.Duration) time.Duration {
	if k.stretch == 0 {
		return 0
	}
	return time.Duration(k.stretch*float64(longest)) + k.target
}

// Stretch returns the factor of the objective, zero for a kind without one.
func (k Kind) Stretch() float64 { return k.stretch }

// Target returns the constant part of the objective.
func (k Kind) Target() time.Duration { return k.target }

// Name returns the name of the kind.
func (k Kind) Name() string { return k.name }

// Idempotent reports whether a caller may safely submit a task of this kind again under a new key.
func (k Kind) Idempotent() bool { return k.idempotent }

// Urgent reports whether operators marked the kind as urgent.
func (k Kind) Urgent() bool { return k.urgent }

// RunTime returns the declared run time.
func (k Kind) RunTime() time.Duration { return k.runTime }

// Deadline returns the default deadline of a job, used when its submission has none.
func (k Kind) Deadline() time.Duration { return k.deadline }

// Team is one customer of the platform with its quota.
type Team struct {
	name      string
	share     int
	maxQueued int
}

// NewTeam returns a team with its weight and the maximum number of its tasks that wait at one entry.
func NewTeam(name string, share, maxQueued int) Team {
	return Team{name: name, share: share, maxQueued: maxQueued}
}

// Name returns the name of the team.
func (t Team) Name() string { return t.name }

// Share returns the weight of the team in fair queueing.
func (t Team) Share() int { return t.share }

// MaxQueued returns the maximum number of the team's tasks that wait at one entry.
func (t Team) MaxQueued() int { return t.maxQueued }

// Configuration is an accepted version of the operators' configuration text.
type Configuration struct {
	version  uint64
	text     string
	document *Document
}

// NewConfiguration returns a version of the configuration text with its parsed document.
func NewConfiguration(version uint64, text string, document *Document) *Configuration {
	return &Configuration{version: version, text: text, document: document}
}

// Version returns the version number, from one.
func (c *Configuration) Version() uint64 { return c.version }

// Text returns the configuration text.
func (c *Configuration) Text() string { return c.text }

// Document returns the parsed configuration text.
func (c *Configuration) Document() *Document { return c.document }
