// Package agregistry keeps the addresses of processes in the platform's store,
// so that processes find each other when their seeds are stale or down.
//
// A process joins at its start and leaves when it ends for good. One that is
// lost stays listed, so a listed process need not run. The list costs one write
// a start of a process and one read a start of a reader; nothing is renewed.
//
// # Usage
//
//	registry := agregistry.NewRegistry(store, agregistry.KindBalancer)
//	if err := registry.Join(ctx, ip, node); err != nil {
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

// Join lists a process. One that is listed already stays so.
func (r *Registry) Join(ctx context.Context, address anvilglade.IPv4, node string) error {
	_, err := r.store.Put(ctx, anvilglade.Object{Kind: r.kind, Name: address.String(), Data: []byte(node)}, 0)
	if err != nil && !errors.Is(err, anvilglade.ErrConflict) {
		return fmt.Errorf("join the list %s: %w", r.kind, err)
	}
	return nil
}

// Leave removes a process from the list.
func (r *Registry) Leave(ctx context.Context, address anvilglade.IPv4) error {
	err := r.store.Delete(ctx, r.kind, address.String())
	if err != nil && !errors.Is(err, anvilglade.ErrNotFound) {
		return fmt.Errorf("leave the list %s: %w", r.kind, err)
	}
	return nil
}

// Members returns the listed addresses. The faults are objects whose name is no
// address; another writer has put them there.
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
