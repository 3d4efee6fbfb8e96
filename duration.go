package anvilglade

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "1m30s" in tables
// and files.
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 90s or 1m30s: %w", text, err)
	}
	*d = Duration(parsed)
	return nil
}
