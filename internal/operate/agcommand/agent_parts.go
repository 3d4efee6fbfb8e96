package agcommand

// Creates the dependencies of the agent: keys, heartbeats, connection ids and
// request servers.

import (
	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agmember"
	"github.com/anvilglade/anvilglade/internal/operate/agagent"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// agentParts returns the dependencies of an agent. It returns an error if the
// join secrets are invalid.
func agentParts(settings *agagent.Settings) (agagent.Parts, error) {
	ring, err := agkeys.NewRing(settings.JoinSecrets)
	if err != nil {
		return agagent.Parts{}, err
	}
	codec := agconnid.NewCodec(ring)
	requests := &requestLayer{settings: settings, ring: ring}
	return agagent.Parts{
		Keys:        ring,
		NewReporter: newReporter,
		NewServer:   requests.newServer,
		Direct: func(record *anvilglade.HostRecord, service anvilglade.ServiceNumber, packet []byte) bool {
			return identifiesHost(codec, record, service, packet)
		},
	}, nil
}

func newReporter(options agmember.ReporterOptions) agagent.Reporter {
	return agmember.NewReporter(options)
}

// identifiesHost reports whether the connection id of a packet was issued by
// this host for the service. It also accepts the id of a former incarnation:
// quic-go has no such connection and answers with a stateless reset, so that the
// caller reconnects at once.
func identifiesHost(codec *agconnid.Codec, record *anvilglade.HostRecord, service anvilglade.ServiceNumber, packet []byte) bool {
	id, _, ok := agconnid.ParseDestination(packet)
	if !ok {
		return false
	}
	target, ok := codec.Decode(id)
	return ok && target.Agent == record.AgentAddress && target.Service == service.Tag()
}
