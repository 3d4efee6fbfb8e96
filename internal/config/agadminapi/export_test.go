package agadminapi

import "strings"

// Patterns returns the method and path of each operation in the form of
// openapi.json.
func Patterns() []string {
	var patterns []string
	for _, op := range operations {
		patterns = append(patterns, strings.ReplaceAll(op.pattern, "...", ""))
	}
	return patterns
}
