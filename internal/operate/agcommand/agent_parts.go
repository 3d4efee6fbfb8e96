package agcommand

// Builds the parts that the agent takes from the packages of keys, membership,
// connection ids and requests.

import (
	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agmember"
	"github.com/anvilglade/anvilglade/internal/operate/agagent"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// agentParts returns the parts of an agent.
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
			return namesHost(codec, record, service, packet)
		},
	}, nil
}

func newReporter(options agmember.ReporterOptions) agagent.Reporter {
	return agmember.NewReporter(options)
}

// namesHost reports whether the connection id of a packet was issued by this
// host for the service. The id of a former incarnation counts as well: quic-go
// does not know it and answers with a stateless reset, so that the caller
// reconnects at once.
func namesHost(codec *agconnid.Codec, record *anvilglade.HostRecord, service anvilglade.ServiceNumber, packet []byte) bool {
	id, _, ok := agconnid.ParseDestination(packet)
	if !ok {
		return false
	}
	target, ok := codec.Decode(id)
	return ok && target.Agent == record.AgentAddress && target.Service == service.Tag()
}
