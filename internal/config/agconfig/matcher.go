package agconfig

import (
	"path"

	"github.com/anvilglade/anvilglade"
)

// Matcher tells the pool of a host. It is immutable and safe for concurrent
// use. Patterns are indexed by their part before the first special character,
// so a lookup tests only patterns that start like the name.
type Matcher struct {
	literal  map[string]ownership
	prefixed map[string][]ownedPattern
}

// ownership is the service of a literal name; shared if two pools name it.
type ownership struct {
	service anvilglade.ServiceID
	shared  bool
}

type ownedPattern struct {
	pattern string
	service anvilglade.ServiceID
}

// NewMatcher returns the matcher of the pools. Patterns of invalid syntax match
// nothing.
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
	prefix, whole := literalPrefix(pattern)
	if !whole {
		m.prefixed[prefix] = append(m.prefixed[prefix], ownedPattern{pattern: pattern, service: service})
		return
	}
	known, ok := m.literal[pattern]
	m.literal[pattern] = ownership{service: service, shared: ok && (known.shared || known.service != service)}
}

// Service returns the service whose pool the host belongs to. It returns false
// if no pool matches, or if two do: a host that two pools claim serves neither.
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
