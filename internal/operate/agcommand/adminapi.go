package agcommand

// Adds the administration API to a balancer.

import (
	"crypto/tls"
	"fmt"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agadminapi"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/operate/agbalancer"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// apiCertificate is the name under which the key bundle holds the certificate of
// the administration API.
const apiCertificate anvilglade.ServiceID = "anvilglade-api"

// serviceCertificates is the part of agkeys.Ring that the API uses.
type serviceCertificates interface {
	ServerTLS(service anvilglade.ServiceID) (*tls.Config, error)
}

// addAdminAPI adds the task of the API if its address is set. It has its own
// client of the object API, so that its rates do not slow down the watches.
func addAdminAPI(settings *balancerSettings, parts *agbalancer.Parts, events *agevent.Ring, members func() *anvilglade.Members) (func(), error) {
	if !settings.api.IsValid() {
		return func() {}, nil
	}
	ring, ok := parts.Keys.(serviceCertificates)
	if !ok {
		return nil, fmt.Errorf("key ring %T has no service certificates", parts.Keys)
	}
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: settings.platform, Token: settings.platformToken})
	if err != nil {
		return nil, err
	}
	server := agadminapi.NewServer(agadminapi.Options{
		Store: store, Events: events, Address: settings.api,
		Hosts: func() []anvilglade.HostRecord { return members().Hosts },
		TLS: &tls.Config{
			MinVersion: tls.VersionTLS13,
			// The certificate may arrive after the start.
			GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
				config, err := ring.ServerTLS(apiCertificate)
				if err != nil {
					return nil, err
				}
				return config.GetCertificate(hello)
			},
		},
	})
	parts.Tasks["adminapi"] = server.Run
	return stop, nil
}
