// Package agtransfer transfers the desired state from one balancer to another.
//
// A balancer that cannot reach the platform's store, or has just started,
// fetches the state from a balancer whose status has a newer version. The state
// is encoded as CBOR and sent over HTTP on the inner port: a transfer is rare,
// may be large and does not need the TLS identities that QUIC requires.
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

// Path is the HTTP path of the desired state.
const Path = "/desired"

// maxStateBytes is the largest encoded state. The store keeps at most 1 MB.
const maxStateBytes = 4 << 20

// NewHandler returns a handler that sends the state returned by current. It
// responds with status 404 while current returns false.
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
		// A peer that receives only a part of the state fetches it again.
		_, _ = writer.Write(data)
	})
}

// Fetch reads the desired state of a balancer. It returns an error if the peer
// does not respond with status 200, or with data that cannot be decoded.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return anvilglade.DesiredState{}, fmt.Errorf("fetch desired state from %s: %w", peer, err)
	}
	var state anvilglade.DesiredState
	if err := cbor.Unmarshal(data, &state); err != nil {
		return anvilglade.DesiredState{}, fmt.Errorf("decode desired state from %s: %w", peer, err)
	}
	return state, nil
}
