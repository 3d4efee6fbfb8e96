package agconfig

import (
	"path"
	"strings"
)

// nameAlphabet lists the characters that names can have; see
// anvilglade.CheckName. It has fewer than 64, so a set of them is one word.
const nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-._"

// patternToken is one part of a pattern: a star or a set of characters.
type patternToken struct {
	star bool
	set  uint64
}

// literalPrefix returns the part of a pattern before its first special
// character, and whether that is all of it.
func literalPrefix(pattern string) (string, bool) {
	if i := strings.IndexAny(pattern, `*?[\`); i >= 0 {
		return pattern[:i], false
	}
	return pattern, true
}

// parsePattern splits a pattern whose syntax is valid for path.Match.
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

// tokenSize returns the length of the token for one character.
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
	// Most patterns are plain names, so a plain character is looked up.
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

// intersect reports whether some name matches both patterns. In step i,
// reach[j] becomes whether the tokens of a from i and those of b from j can
// match the same text.
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
				// A star ends or takes the other side's token.
				reach[j] = below || reach[j+1]
			} else {
				reach[j] = diagonal && a[i].set&b[j].set != 0
			}
			diagonal = below
		}
	}
	return reach[0]
}
