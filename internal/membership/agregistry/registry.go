// Package agregistry keeps the addresses of processes in the platform's store, so
// that processes can discover each other when their seeds are outdated or down.
//
// A process joins when it starts and leaves when it terminates for good. A process
// that crashes stays listed, so a listed process is not necessarily running. The
// list costs one write per start of a process and one read per start of a reader.
// Entries are not renewed, but a process joins again in each era of the store, because
// the copy from which the store was restored may lack its entry.
//
// # Usage
//
//	registry := agregistry.NewRegistry(store, agregistry.KindBalancer)
//	entry := agregistry.NewEntry(registry, ip, node)
//	if err := entry.Join(ctx, era); err != nil {
//		return err
//	}
//	addresses, faults, err := registry.Members(ctx)
package agregistry

import (
	"context"
	"errors"
	"fmt"

	"github.com/anvilglade/anvilglade"
)

// Kinds of objects that list processes.
const (
	KindBalancer = "anvilglade-balancers"
	KindAgent    = "anvilglade-agents"
)

// Registry is the list of the processes of one kind.
type Registry struct {
	store anvilglade.Store
	kind  string
}

// NewRegistry returns a registry in the store.
func NewRegistry(store anvilglade.Store, kind string) *Registry {
	return &Registry{store: store, kind: kind}
}

// Join adds a process to the list and returns the era of the store in which it is listed.
// It succeeds without a change if the process is already listed. The error is that of the
// store.
func (r *Registry) Join(ctx context.Context, address anvilglade.IPv4, node string) (anvilglade.StoreEra, error) {
	era, err := r.store.Ensure(ctx, anvilglade.Object{Kind: r.kind, Name: address.String(), Data: []byte(node)})
	if err != nil {
		return era, fmt.Errorf("join the list %s: %w", r.kind, err)
	}
	return era, nil
}

// Leave removes a process from the list. It succeeds if the process is not listed.
// The error is that of the store.
func (r *Registry) Leave(ctx context.Context, address anvilglade.IPv4) error {
	err := r.store.Delete(ctx, r.kind, address.String())
	if err != nil && !errors.Is(err, anvilglade.ErrNotFound) {
		return fmt.Errorf("leave the list %s: %w", r.kind, err)
	}
	return nil
}

// Members returns the listed addresses. The second result has one error for each
// object whose name is not an address, which another writer must have created. The
// third is the error of the store.
func (r *Registry) Members(ctx context.Context) ([]anvilglade.IPv4, []error, error) {
	objects, err := r.store.List(ctx, r.kind)
	if err != nil {
		return nil, nil, fmt.Errorf("read the list %s: %w", r.kind, err)
	}
	var members []anvilglade.IPv4
	var faults []error
	for _, object := range objects {
		address, err := anvilglade.ParseIPv4(object.Name)
		if err != nil {
			faults = append(faults, fmt.Errorf("object %s/%s: %w", r.kind, object.Name, err))
			continue
		}
		members = append(members, address)
	}
	return members, faults, nil
}
