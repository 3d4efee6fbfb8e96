package agconfig

import (
	"sync"

	"github.com/anvilglade/anvilglade"
)

// Holder keeps the configuration in effect at a process. It is safe for
// concurrent use; the zero value has none.
type Holder struct {
	mu      sync.Mutex
	current anvilglade.Configuration
}

// Adopt replaces the configuration if the version is above the one in effect.
// It returns whether it did. Data that cannot be decoded leaves the former
// configuration in effect and is an error.
func (h *Holder) Adopt(version anvilglade.Version, data []byte) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if anvilglade.Revision(version) <= h.current.Revision {
		return false, nil
	}
	configuration, err := Load(version, data)
	if err != nil {
		return false, err
	}
	h.current = configuration
	return true, nil
}

// Current returns the configuration in effect, or false before the first one.
func (h *Holder) Current() (anvilglade.Configuration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.current.Revision > 0
}
