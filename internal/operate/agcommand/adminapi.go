package agcommand

// The administration API of a balancer.

import (
	"crypto/tls"
	"fmt"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agadminapi"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/operate/agbalancer"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// apiCertificate is the service name of the administration API's certificate in
// the key bundle.
const apiCertificate anvilglade.ServiceID = "anvilglade-api"

// serviceCertificates is the part of agkeys.Ring that the administration API
// uses.
type serviceCertificates interface {
	ServerTLS(service anvilglade.ServiceID) (*tls.Config, error)
}

// addAdminAPI adds the task of the administration API if its address is set. The
// API has its own client of the object API, so that its calls do not use up the
// rate limit of the watches. The returned function closes that client.
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
			// The certificate may be received after the start.
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
