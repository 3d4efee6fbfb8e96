package agconfig

import "github.com/anvilglade/anvilglade"

// patternIndex finds patterns that match the same names. Two patterns can do so
// only if the literal prefix of one starts with that of the other, which keeps
// the search near linear at thousands of patterns.
type patternIndex struct {
	all      []indexedPattern
	byPrefix map[string][]indexedPattern
}

type indexedPattern struct {
	service anvilglade.ServiceID
	pattern string
	tokens  []patternToken
	order   int
}

func (x *patternIndex) add(pattern indexedPattern) {
	pattern.order = len(x.all)
	prefix, _ := literalPrefix(pattern.pattern)
	x.all = append(x.all, pattern)
	x.byPrefix[prefix] = append(x.byPrefix[prefix], pattern)
}

// before returns the patterns of other services whose prefix is a prefix of the
// given pattern's and that match a common name. Each pair is found once.
func (x *patternIndex) before(pattern indexedPattern) []indexedPattern {
	prefix, _ := literalPrefix(pattern.pattern)
	var found []indexedPattern
	for end := 0; end <= len(prefix); end++ {
		for _, other := range x.byPrefix[prefix[:end]] {
			if other.service == pattern.service || end == len(prefix) && other.order >= pattern.order {
				continue
			}
			if intersect(pattern.tokens, other.tokens) {
				found = append(found, other)
			}
		}
	}
	return found
}
