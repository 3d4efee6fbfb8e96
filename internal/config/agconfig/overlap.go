package agconfig

import "github.com/anvilglade/anvilglade"

// patternIndex finds patterns that match the same names. Two patterns can overlap
// only if the literal prefix of one starts with that of the other. This keeps the
// search nearly linear with thousands of patterns.
type patternIndex struct {
	all      []indexedPattern
	byPrefix map[string][]indexedPattern
}

// indexedPattern is a pattern with its parsed form and its position in the index.
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

// findOverlaps returns the patterns of other services that can match the same name
// as the given pattern and whose literal prefix is a prefix of its own. Over all
// patterns of the index, each pair is found once.
func (x *patternIndex) findOverlaps(pattern indexedPattern) []indexedPattern {
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
