package agtransfer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agtransfer"
)

// largeState returns a state with many idle routes, as operators keep them.
func largeState(version anvilglade.DesiredVersion) anvilglade.DesiredState {
	state := anvilglade.DesiredState{Version: version}
	for i := range 1500 {
		state.Routes = append(state.Routes, anvilglade.PacketRoute{
			Name: fmt.Sprintf("idle-route-%d", i), Address: anvilglade.Endpoint{IP: anvilglade.IPv4{198, 18, byte(i >> 8), byte(i)}, Port: 443},
			Backends: []anvilglade.WeightedService{{Service: "alerts", Weight: 1}},
		})
	}
	return state
}

// Guards against a peer that receives the state of an earlier version after a change,
// a state that differs from the one in effect, and transfers whose size grows with the
// idle routes: each balancer without a watch of the store fetches every version.
func TestFetchReturnsTheNewestState(t *testing.T) {
	var state anvilglade.DesiredState
	var size int
	handler := agtransfer.NewHandler(func() (anvilglade.DesiredState, bool) { return state, state.Version > 0 })
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		size = recorder.Body.Len()
		handler.ServeHTTP(writer, request)
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	peer := anvilglade.Endpoint{IP: address.Addr().As4(), Port: address.Port()}
	if _, err := agtransfer.Fetch(t.Context(), http.DefaultClient, peer); err == nil {
		t.Error("a balancer without a desired state answered with one")
	}
	for _, version := range []anvilglade.DesiredVersion{1, 2, 7} {
		state = largeState(version)
		fetched, err := agtransfer.Fetch(t.Context(), http.DefaultClient, peer)
		if err != nil || !reflect.DeepEqual(fetched, state) {
			t.Fatalf("fetched version %d (%v), want %d with all routes", fetched.Version, err, version)
		}
	}
	const maxBytesPerRoute = 40
	if size > maxBytesPerRoute*len(state.Routes) {
		t.Errorf("transfer has %d bytes for %d routes, want at most %d a route", size, len(state.Routes), maxBytesPerRoute)
	}
}

// Guards against a peer of an earlier build that does not accept compressed data.
func TestUncompressedTransfer(t *testing.T) {
	state := largeState(3)
	server := httptest.NewServer(agtransfer.NewHandler(func() (anvilglade.DesiredState, bool) { return state, true }))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	fetched, err := agtransfer.Fetch(t.Context(), client, anvilglade.Endpoint{IP: address.Addr().As4(), Port: address.Port()})
	if err != nil || fetched.Version != state.Version {
		t.Errorf("fetched version %d (%v), want %d", fetched.Version, err, state.Version)
	}
}
