package agconfig

import (
	"path"

	"github.com/anvilglade/anvilglade"
)

// Matcher finds the pool of a host. It is immutable and safe for concurrent use.
// Patterns are indexed by the part before their first special character, so that
// a lookup tests only patterns whose literal prefix is a prefix of the name.
type Matcher struct {
	literal  map[string]ownership
	prefixed map[string][]ownedPattern
}

// ownership is the service whose pool lists a literal name. It is shared if pools
// of several services list the name.
type ownership struct {
	service anvilglade.ServiceID
	shared  bool
}

// ownedPattern is a pattern with special characters and the service of its pool.
type ownedPattern struct {
	pattern string
	service anvilglade.ServiceID
}

// NewMatcher returns a matcher for the pools of the tables. Patterns with invalid
// syntax match no host.
func NewMatcher(tables anvilglade.Tables) *Matcher {
	m := &Matcher{literal: map[string]ownership{}, prefixed: map[string][]ownedPattern{}}
	for _, pool := range tables.Pools {
		for _, pattern := range pool.Hosts {
			m.add(pattern, pool.Service)
		}
	}
	return m
}

func (m *Matcher) add(pattern string, service anvilglade.ServiceID) {
	prefix, isLiteral := literalPrefix(pattern)
	if !isLiteral {
		m.prefixed[prefix] = append(m.prefixed[prefix], ownedPattern{pattern: pattern, service: service})
		return
	}
	existing, ok := m.literal[pattern]
	m.literal[pattern] = ownership{service: service, shared: ok && (existing.shared || existing.service != service)}
}

// Service returns the service whose pool matches the host. It returns false if no
// pool matches or if the pools of several services do, because such a host must
// serve none of them.
func (m *Matcher) Service(host anvilglade.HostID) (anvilglade.ServiceID, bool) {
	name := string(host)
	owner, found := m.literal[name]
	if owner.shared {
		return "", false
	}
	for end := 0; end <= len(name); end++ {
		for _, candidate := range m.prefixed[name[:end]] {
			if found && candidate.service == owner.service {
				continue
			}
			if ok, err := path.Match(candidate.pattern, name); err != nil || !ok {
				continue
			}
			if found {
				return "", false
			}
			owner.service, found = candidate.service, true
		}
	}
	return owner.service, found
}
