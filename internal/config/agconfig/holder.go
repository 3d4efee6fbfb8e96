package agconfig

import (
	"sync"

	"github.com/anvilglade/anvilglade"
)

// Holder stores the configuration in effect at a process. It is safe for
// concurrent use. The zero value has no configuration.
type Holder struct {
	mu      sync.Mutex
	current anvilglade.Configuration
}

// Adopt replaces the configuration if the version is higher than the one in
// effect, and reports whether it did. If the data cannot be decoded, it returns an
// error and the previous configuration stays in effect.
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

// Current returns the configuration in effect, or false if none was adopted yet.
func (h *Holder) Current() (anvilglade.Configuration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.current.Revision > 0
}
