package agconfig

import (
	"path"
	"strings"
)

// nameAlphabet contains the characters that are allowed in names; see
// anvilglade.CheckName. There are fewer than 64, so that a set of characters fits
// into one uint64.
const nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-._"

// patternToken is one element of a pattern: a star or a set of characters, one of
// which must match.
type patternToken struct {
	star bool
	set  uint64
}

// literalPrefix returns the part of a pattern before its first special character,
// and whether this is the whole pattern.
func literalPrefix(pattern string) (string, bool) {
	if i := strings.IndexAny(pattern, `*?[\`); i >= 0 {
		return pattern[:i], false
	}
	return pattern, true
}

// parsePattern splits a pattern into tokens. The pattern must have valid syntax for
// path.Match.
func parsePattern(pattern string) []patternToken {
	var tokens []patternToken
	for len(pattern) > 0 {
		if pattern[0] == '*' {
			tokens = append(tokens, patternToken{star: true})
			pattern = pattern[1:]
			continue
		}
		size := tokenSize(pattern)
		tokens = append(tokens, patternToken{set: charactersOf(pattern[:size])})
		pattern = pattern[size:]
	}
	return tokens
}

// tokenSize returns the length in bytes of the first token of a pattern, which must
// not be a star.
func tokenSize(pattern string) int {
	switch pattern[0] {
	case '\\':
		return min(2, len(pattern))
	case '[':
		for i := 1; i < len(pattern); i++ {
			if pattern[i] == '\\' {
				i++
				continue
			}
			if pattern[i] == ']' {
				return i + 1
			}
		}
		return len(pattern)
	default:
		return 1
	}
}

func charactersOf(token string) uint64 {
	// Bit i of a set stands for nameAlphabet[i]. Most patterns are plain names, so
	// a plain character takes a fast path.
	if len(token) == 1 && token != "?" {
		if i := strings.IndexByte(nameAlphabet, token[0]); i >= 0 {
			return 1 << i
		}
		return 0
	}
	var set uint64
	for i := range nameAlphabet {
		if ok, err := path.Match(token, nameAlphabet[i:i+1]); ok && err == nil {
			set |= 1 << i
		}
	}
	return set
}

// intersect reports whether any name matches both patterns. It is a dynamic program
// over the suffixes of both: after step i, reach[j] is true if the tokens of a from
// i on and those of b from j on can match the same text.
func intersect(a, b []patternToken) bool {
	reach := make([]bool, len(b)+1)
	reach[len(b)] = true
	for j := len(b) - 1; j >= 0; j-- {
		reach[j] = b[j].star && reach[j+1]
	}
	for i := len(a) - 1; i >= 0; i-- {
		diagonal := reach[len(b)]
		reach[len(b)] = a[i].star && reach[len(b)]
		for j := len(b) - 1; j >= 0; j-- {
			below := reach[j]
			if a[i].star || b[j].star {
				// A star either matches nothing more or matches the other pattern's
				// token.
				reach[j] = below || reach[j+1]
			} else {
				reach[j] = diagonal && a[i].set&b[j].set != 0
			}
			diagonal = below
		}
	}
	return reach[0]
}
