package hibiscusscheduling

import (
	"slices"
	"strings"
)

const (
	// maxEvacuatedDomains bounds the domains of a set, and so the messages that carry it. Sites have at most a dozen domains; the others
	// are rows of other writers.
	maxEvacuatedDomains = 64
	// maxDomainBytes bounds the name of a domain.
	maxDomainBytes = 128
)

// Evacuation is the set of the evacuated failure domains, whose workers must start no tasks, with a revision that only grows. Every
// set is the one that the table had at its revision, so of two sets the one with the higher revision is valid, whichever process it
// comes from.
type Evacuation struct {
	revision uint64
	domains  []string
}

// NewEvacuation returns a set of domains. Names that ValidDomain rejects are dropped, and so are those beyond a bound, in their order.
func NewEvacuation(revision uint64, domains []string) Evacuation {
	valid := make([]string, 0, min(len(domains), maxEvacuatedDomains))
	for _, domain := range slices.Compact(slices.Sorted(slices.Values(domains))) {
		if ValidDomain(domain) && len(valid) < maxEvacuatedDomains {
			valid = append(valid, domain)
		}
	}
	return Evacuation{revision: revision, domains: valid}
}

// ValidDomain reports whether a name can be that of a failure domain.
func ValidDomain(name string) bool {
	return name != "" && len(name) <= maxDomainBytes &&
		!strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f })
}

// Revision returns the revision of the set, zero before the first.
func (e Evacuation) Revision() uint64 { return e.revision }

// Domains returns the evacuated domains, sorted. The caller must not change the list.
func (e Evacuation) Domains() []string { return e.domains }

// Has reports whether a domain is evacuated.
func (e Evacuation) Has(domain string) bool { return slices.Contains(e.domains, domain) }

// Empty reports whether no domain is evacuated.
func (e Evacuation) Empty() bool { return len(e.domains) == 0 }

// SameDomains reports whether another set has the same domains.
func (e Evacuation) SameDomains(other Evacuation) bool { return slices.Equal(e.domains, other.domains) }

// Replaces reports whether the set takes the place of another one. It decides between what the table, the peers and the agents say, which
// arrives in any order: a restarted process first hears old sets, and one that was cut off still sends them.
func (e Evacuation) Replaces(other Evacuation) bool { return e.revision > other.revision }

// Announced returns the revision that a process names to the others: zero while no domain is evacuated, like that of a process that never
// had a set, so that deployments without evacuations exchange nothing.
func (e Evacuation) Announced() uint64 {
	if e.Empty() {
		return 0
	}
	return e.revision
}

// NewTo reports whether a process that has announced a revision lacks this set.
func (e Evacuation) NewTo(announced uint64) bool {
	return e.revision > announced && (!e.Empty() || announced > 0)
}
