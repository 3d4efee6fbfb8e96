// Package agtransfer hands the desired state from one balancer to another.
//
// A balancer that cannot reach the platform's store, or has just started, reads
// the state from a balancer whose status names a newer version. The state is
// CBOR over HTTP on the inner port: a transfer is rare, may be large and has no
// need for the TLS identities that QUIC would ask for.
//
// # Usage
//
//	mux.Handle(agtransfer.Path, agtransfer.NewHandler(current))
//	state, err := agtransfer.Fetch(ctx, client, peer)
package agtransfer

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
)

// Path is the path of the state.
const Path = "/desired"

// maxState bounds a state in bytes; the store keeps at most 1 MB.
const maxState = 4 << 20

// NewHandler returns the handler that offers the state of current, which
// returns false while there is none.
func NewHandler(current func() (anvilglade.DesiredState, bool)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		state, ok := current()
		if !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		data, err := cbor.Marshal(state)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		// A reader that leaves early asks again.
		_, _ = writer.Write(data)
	})
}

// Fetch reads the state of a balancer.
func Fetch(ctx context.Context, client *http.Client, peer anvilglade.Endpoint) (anvilglade.DesiredState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+Path, nil)
	if err != nil {
		return anvilglade.DesiredState{}, fmt.Errorf("fetch desired state: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return anvilglade.DesiredState{}, fmt.Errorf("fetch desired state: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return anvilglade.DesiredState{}, fmt.Errorf("fetch desired state from %s: %s", peer, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxState))
	if err != nil {
		return anvilglade.DesiredState{}, fmt.Errorf("fetch desired state from %s: %w", peer, err)
	}
	var state anvilglade.DesiredState
	if err := cbor.Unmarshal(data, &state); err != nil {
		return anvilglade.DesiredState{}, fmt.Errorf("decode desired state from %s: %w", peer, err)
	}
	return state, nil
}
