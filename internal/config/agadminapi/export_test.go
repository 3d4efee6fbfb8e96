package agadminapi

import "strings"

// Patterns returns method and path of each operation, for the comparison with
// openapi.json.
func Patterns() []string {
	var patterns []string
	for _, item := range operations {
		patterns = append(patterns, strings.ReplaceAll(item.pattern, "...", ""))
	}
	return patterns
}
