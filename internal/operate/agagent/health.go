// Polling of the health and load that the backend server reports, for
// AdmissionBaseline.

package agagent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/admission/agadmit"
)

const (
	healthInterval = time.Second
	healthTimeout  = time.Second
)

// reportedLoad is the response of a backend server to GET /load.
type reportedLoad struct {
	Slots, InUse int
}

// pollHealth polls the health and load of the backend server of the assigned
// service every healthInterval and passes them to the baseline unchecked.
func (a *Agent) pollHealth(ctx context.Context, baseline *agadmit.Baseline) error {
	client := &http.Client{Timeout: healthTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		assignment, ok := a.reporter.Assignment()
		if !ok {
			continue
		}
		if backend, ok := a.settings.Backends[assignment.Service]; ok {
			healthy, utilisation := fetchHealth(ctx, client, backend)
			baseline.Report(healthy, utilisation)
		}
	}
}

// fetchHealth returns the health and utilisation of a backend server. A server
// that does not answer is unhealthy and fully utilised. A healthy server without a
// load report has the utilisation 0.
func fetchHealth(ctx context.Context, client *http.Client, backend netip.AddrPort) (bool, anvilglade.Utilisation) {
	if err := get(ctx, client, fmt.Sprintf("http://%s/health", backend), nil); err != nil {
		return false, anvilglade.FullUtilisation
	}
	var load reportedLoad
	if err := get(ctx, client, fmt.Sprintf("http://%s/load", backend), &load); err != nil {
		return true, 0
	}
	full := int(anvilglade.FullUtilisation)
	return true, anvilglade.Utilisation(min(full, max(0, load.InUse)*full/max(1, load.Slots)))
}

func get(ctx context.Context, client *http.Client, url string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", url, response.Status)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(target)
}
