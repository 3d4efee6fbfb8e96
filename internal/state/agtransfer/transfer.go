// Package agtransfer transfers the desired state from one balancer to another.
//
// A balancer that cannot reach the platform's store, or has just started,
// fetches the state from a balancer whose status has a newer version. The state
// is encoded as CBOR, compressed and sent over HTTP on the inner port: a transfer is
// rare, may be large and does not need the TLS identities that QUIC requires. Each
// version is encoded once, because all balancers without a watch of the store fetch
// it.
//
// # Usage
//
//	mux.Handle(agtransfer.Path, agtransfer.NewHandler(current))
//	state, err := agtransfer.Fetch(ctx, client, peer)
package agtransfer

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
)

// Path is the HTTP path of the desired state.
const Path = "/desired"

// gzipEncoding is the value of the headers Accept-Encoding and Content-Encoding that
// stands for gzip.
const gzipEncoding = "gzip"

// maxStateBytes is the largest encoded state. The store keeps at most 1 MB.
const maxStateBytes = 4 << 20

// Handler sends the desired state to other balancers. It is safe for concurrent use.
type Handler struct {
	current func() (anvilglade.DesiredState, bool)

	mu sync.Mutex
	// version is the version of the state in encoded and compressed.
	version             anvilglade.DesiredVersion
	encoded, compressed []byte
}

// NewHandler returns a handler that sends the state returned by current. It
// responds with status 404 while current returns false.
func NewHandler(current func() (anvilglade.DesiredState, bool)) *Handler {
	return &Handler{current: current}
}

// ServeHTTP sends the state, compressed if the client accepts that.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	state, ok := h.current()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	encoded, compressed, err := h.encode(&state)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	body := encoded
	if strings.Contains(request.Header.Get("Accept-Encoding"), gzipEncoding) {
		writer.Header().Set("Content-Encoding", gzipEncoding)
		body = compressed
	}
	// A peer that receives only a part of the state fetches it again.
	_, _ = writer.Write(body)
}

// encode returns the encoded state and its compressed form.
func (h *Handler) encode(state *anvilglade.DesiredState) ([]byte, []byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.encoded != nil && h.version == state.Version {
		return h.encoded, h.compressed, nil
	}
	encoded, err := cbor.Marshal(state)
	if err != nil {
		return nil, nil, fmt.Errorf("encode desired state: %w", err)
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, nil, fmt.Errorf("compress desired state: %w", err)
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, nil, fmt.Errorf("compress desired state: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, nil, fmt.Errorf("compress desired state: %w", err)
	}
	h.version, h.encoded, h.compressed = state.Version, encoded, buffer.Bytes()
	return h.encoded, h.compressed, nil
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
