package agregistry

import (
	"context"

	"github.com/anvilglade/anvilglade"
)

// Entry is the entry of this process in a registry. It is not safe for concurrent use.
type Entry struct {
	registry *Registry
	address  anvilglade.IPv4
	node     string
	joined   bool
	// era is the era of the store in which the process has joined.
	era anvilglade.StoreEra
}

// NewEntry returns the entry of a process that has not joined yet.
func NewEntry(registry *Registry, address anvilglade.IPv4, node string) *Entry {
	return &Entry{registry: registry, address: address, node: node}
}

// Lacking reports whether a store of the given era may lack the entry.
func (e *Entry) Lacking(era anvilglade.StoreEra) bool {
	return !e.joined || era > e.era
}

// Join adds the process to the list if a store of the given era may lack it. The error is
// that of the store.
func (e *Entry) Join(ctx context.Context, era anvilglade.StoreEra) error {
	if !e.Lacking(era) {
		return nil
	}
	joinedIn, err := e.registry.Join(ctx, e.address, e.node)
	if err != nil {
		return err
	}
	e.joined, e.era = true, joinedIn
	return nil
}
