package agfabric

// The control port and the readiness checks of the balancers.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

const (
	healthInterval    = 100 * time.Millisecond
	healthTimeout     = 200 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

// Status is the answer to GET /status.
type Status struct {
	// Unknown counts datagrams whose sender, service or caller is unknown.
	Unknown uint64
	// Failures counts datagrams that could not be sent and relay connections that
	// could not reach the object API.
	Failures uint64
	Living   []string
}

func (f *Fabric) serveControl(ctx context.Context, address netip.AddrPort) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return fmt.Errorf("listen on control address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ready") })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.status()) })
	mux.HandleFunc("GET /counts", f.serveCounts)
	mux.HandleFunc("POST /faults", f.serveFault)
	mux.HandleFunc("DELETE /faults", f.serveClear)
	mux.HandleFunc("POST /parties", f.serveParties)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve control address: %w", err)
	}
	return nil
}

func (f *Fabric) status() Status {
	status := Status{Unknown: f.unknownSenders.Load(), Failures: f.failures.Load(), Living: []string{}}
	for _, party := range f.view.Load().parties {
		if party.ready.Load() {
			status.Living = append(status.Living, party.Name)
		}
	}
	return status
}

func (f *Fabric) serveCounts(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is not a time in Unix milliseconds", http.StatusBadRequest)
		return
	}
	writeJSON(w, f.counts.since(since))
}

func (f *Fabric) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.faults.set(fault)
	f.closePartitioned()
}

func (f *Fabric) serveClear(_ http.ResponseWriter, r *http.Request) {
	f.faults.clear(r.URL.Query().Get("name"))
}

func (f *Fabric) serveParties(w http.ResponseWriter, r *http.Request) {
	var parties []Party
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&parties); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.AddParties(parties); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// checkHealth polls the readiness of every balancer each healthInterval. A
// balancer that does not answer 200 within healthTimeout receives no packets until
// it does again.
func (f *Fabric) checkHealth(ctx context.Context) error {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	probing := map[string]chan struct{}{}
	for {
		for _, party := range f.view.Load().parties {
			if party.Ready == "" {
				continue
			}
			slot := probing[party.Name]
			if slot == nil {
				slot = make(chan struct{}, 1)
				probing[party.Name] = slot
			}
			select {
			case slot <- struct{}{}:
			default:
				continue
			}
			if err := f.group.Start("probe/"+party.Name, func(ctx context.Context) error {
				party.ready.Store(probe(ctx, client, party.Ready))
				<-slot
				return nil
			}); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func probe(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
