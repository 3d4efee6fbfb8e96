package agcommand

// Creates the request layer of an agent: one ticket table, one journal and one
// control socket per process, and one HTTP/3 server per service.

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/operate/agagent"
	"github.com/anvilglade/anvilglade/internal/packet/agconnid"
	"github.com/anvilglade/anvilglade/internal/request/agserve"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// journalSize is the maximum number of requests with an unknown outcome in the
// journal of an agent.
const journalSize = 10000

// requestLayer holds the parts that the servers of all services of an agent
// share. All but settings and ring are set by startShared.
type requestLayer struct {
	settings *agagent.Settings
	ring     *agkeys.Ring
	tickets  *agticket.Table
	journal  *agticket.Journal
	peers    *agserve.Peers
	resetKey *quic.StatelessResetKey
}

// newServer starts the HTTP/3 server of one service, and the shared parts with
// the first server. The returned function stops what it has started.
func (l *requestLayer) newServer(options agagent.ServerOptions) (agagent.Server, func(), error) {
	closeShared := func() {}
	if l.peers == nil {
		stop, err := l.startShared(options)
		if err != nil {
			return nil, nil, err
		}
		closeShared = stop
	}
	target := agconnid.Target{
		Agent:       options.Record.AgentAddress,
		Incarnation: options.Record.Incarnation.Tag(),
		Service:     options.Service.Number().Tag(),
	}
	server, stop, err := agserve.NewServer(agserve.Options{
		Service:       options.Service,
		Conn:          options.Conn,
		TLS:           l.serviceTLS(options.Service),
		Backend:       options.Backend,
		Admitter:      options.Admitter,
		Spill:         options.Spill,
		ConnectionIDs: agconnid.NewGenerator(agconnid.NewCodec(l.ring), target),
		ConnectionKey: l.connectionKey,
		ResetKey:      l.resetKey,
		Tickets:       l.tickets,
		Journal:       l.journal,
		Peers:         l.peers,
		Members:       func() []anvilglade.ServiceMember { return membersOf(options.Assignment, options.Service) },
		DataCentre:    options.Record.DataCentre,
		Clock:         anvilglade.SystemClock{},
		Events:        options.Events,
	})
	if err != nil {
		closeShared()
		return nil, nil, err
	}
	expvar.Publish("Requests."+string(options.Service), server.Vars())
	if err := options.Group.Start("requests-"+string(options.Service), server.Run); err != nil {
		stop()
		closeShared()
		return nil, nil, err
	}
	return &drainingServer{server: server, group: options.Group, assignment: options.Assignment}, func() {
		stop()
		closeShared()
	}, nil
}

func (l *requestLayer) connectionKey() anvilglade.KeyID {
	key, _ := l.ring.CurrentConnectionID()
	return key.ID
}

// startShared creates the parts that all services share and starts their tasks.
// It returns an error if the control address cannot be bound.
func (l *requestLayer) startShared(options agagent.ServerOptions) (func(), error) {
	key, err := agconnid.ResetKey(l.settings.JoinSecrets[0])
	if err != nil {
		return nil, err
	}
	l.resetKey = &key
	l.journal = agticket.NewJournal(journalSize, anvilglade.SystemClock{})
	options.Admin.Handle("GET /requests/unknown", l.journal)
	if l.tickets, err = agticket.NewTable(agticket.Options{
		Issuer: options.Record.ControlAddress, Incarnation: options.Record.Incarnation,
	}); err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.settings.ControlAddress))
	if err != nil {
		return nil, fmt.Errorf("listen on control address %s: %w", l.settings.ControlAddress, err)
	}
	server, client, err := agkeys.ProcessTLS(l.settings.JoinSecrets, anvilglade.ProcessID("agent/"+l.settings.Host))
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	peers, closePeers, err := agserve.NewPeers(agserve.PeersOptions{
		Conn: socket, Address: options.Record.ControlAddress, ServerTLS: server, ClientTLS: client, ResetKey: &key,
	})
	if err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	stop := func() {
		closePeers()
		_ = socket.Close()
	}
	if err := options.Group.Start("peers", peers.Run); err != nil {
		stop()
		return nil, err
	}
	l.peers = peers
	task := func(ctx context.Context) error { return l.watchMembers(ctx, options.Assignment) }
	if err := options.Group.Start("members", task); err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}

// watchMembers closes the connections to agents whose data centre was taken out
// of service. Connections to agents that are no longer members for another
// reason, such as a move of their host to another pool, stay open for the
// requests that were placed there.
func (l *requestLayer) watchMembers(ctx context.Context, source anvilglade.AssignmentSource) error {
	changed, end := source.Subscribe()
	defer end()
	dataCentres := make(map[netip.AddrPort]anvilglade.DataCentreID)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
		assignment, ok := source.Assignment()
		if !ok {
			continue
		}
		if assignment.DataCentreState == anvilglade.DataCentreOut {
			l.peers.DropAll()
		}
		for i := range assignment.Members {
			dataCentres[assignment.Members[i].ControlAddress] = assignment.Members[i].DataCentre
		}
		for address, centre := range dataCentres {
			if slices.Contains(assignment.OutDataCentres, centre) {
				l.peers.Drop(address)
				delete(dataCentres, address)
			}
		}
	}
}

// serviceTLS returns a configuration that looks up the certificate at each
// handshake, because keys are received with the first assignment and change with
// rotations.
func (l *requestLayer) serviceTLS(service anvilglade.ServiceID) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
			config, err := l.ring.ServerTLS(service)
			if err != nil {
				return nil, err
			}
			return config.GetCertificate(hello)
		},
	}
}

// membersOf returns the hosts of a service, or nil if the host is not assigned
// to that service.
func membersOf(source anvilglade.AssignmentSource, service anvilglade.ServiceID) []anvilglade.ServiceMember {
	assignment, ok := source.Assignment()
	if !ok || assignment.Service != service {
		return nil
	}
	return assignment.Members
}

// drainingServer is a server whose graceful stop runs as a task.
type drainingServer struct {
	server     *agserve.Server
	group      *agtask.Group
	assignment anvilglade.AssignmentSource
}

// ConnectionKeys returns the number of open connections per key.
func (d *drainingServer) ConnectionKeys() map[anvilglade.KeyID]int {
	return d.server.ConnectionKeys()
}

// Drain starts the graceful stop and returns at once. The stop is limited by the
// DrainLimit of the pool, or by agagent.DefaultDrainLimit if the pool sets none.
func (d *drainingServer) Drain() {
	limit := agagent.DefaultDrainLimit
	if assignment, ok := d.assignment.Assignment(); ok && assignment.Pool.DrainLimit > 0 {
		limit = time.Duration(assignment.Pool.DrainLimit)
	}
	log := aglog.New("request")
	task := func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if err := d.server.Drain(ctx); err != nil {
			log.WithError(err).Warn("Open requests were aborted by the graceful stop.")
		}
		return nil
	}
	if err := d.group.Start("drain", task); err != nil {
		log.WithError(err).Error("Failed to start the graceful stop.")
	}
}
