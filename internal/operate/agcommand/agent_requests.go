package agcommand

// Builds the request layer of an agent: one ticket table, one journal and one
// control socket for the process, one HTTP/3 server for each service.

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

// journalSize is the number of unknown outcomes that an agent keeps.
const journalSize = 10000

// requestLayer has what the servers of all services of an agent share.
type requestLayer struct {
	settings *agagent.Settings
	ring     *agkeys.Ring
	tickets  *agticket.Table
	journal  *agticket.Journal
	peers    *agserve.Peers
	resetKey *quic.StatelessResetKey
}

// newServer builds the HTTP/3 server of one service.
func (l *requestLayer) newServer(options agagent.ServerOptions) (agagent.Server, func(), error) {
	closeShared := func() {}
	if l.peers == nil {
		stop, err := l.share(options)
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
	return &drainedServer{server: server, group: options.Group, assignment: options.Assignment}, func() {
		stop()
		closeShared()
	}, nil
}

func (l *requestLayer) connectionKey() anvilglade.KeyID {
	key, _ := l.ring.CurrentConnectionID()
	return key.ID
}

// share creates the parts that all services use, with the first server.
func (l *requestLayer) share(options agagent.ServerOptions) (func(), error) {
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
	follow := func(ctx context.Context) error { return l.followMembers(ctx, options.Assignment) }
	if err := options.Group.Start("members", follow); err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}

// followMembers closes the connections to agents whose data centre was taken out
// of service. Agents that leave the members for another reason, such as a move
// of their host to another pool, keep the requests that were placed there.
func (l *requestLayer) followMembers(ctx context.Context, source anvilglade.AssignmentSource) error {
	changed, end := source.Subscribe()
	defer end()
	known := make(map[netip.AddrPort]anvilglade.DataCentreID)
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
			known[assignment.Members[i].ControlAddress] = assignment.Members[i].DataCentre
		}
		for address, centre := range known {
			if slices.Contains(assignment.OutDataCentres, centre) {
				l.peers.Drop(address)
				delete(known, address)
			}
		}
	}
}

// serviceTLS looks the certificate up at each handshake, since the keys come
// with the first assignment and change with rotations.
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

// membersOf returns the hosts of the service that the assignment is for.
func membersOf(source anvilglade.AssignmentSource, service anvilglade.ServiceID) []anvilglade.ServiceMember {
	assignment, ok := source.Assignment()
	if !ok || assignment.Service != service {
		return nil
	}
	return assignment.Members
}

// drainedServer runs the graceful stop of a server as a task.
type drainedServer struct {
	server     *agserve.Server
	group      *agtask.Group
	assignment anvilglade.AssignmentSource
}

// ConnectionKeys returns the number of open connections by key.
func (d *drainedServer) ConnectionKeys() map[anvilglade.KeyID]int {
	return d.server.ConnectionKeys()
}

// Drain starts the graceful stop and does not wait for its end.
func (d *drainedServer) Drain() {
	limit := agagent.DefaultDrainLimit
	if assignment, ok := d.assignment.Assignment(); ok && assignment.Pool.DrainLimit > 0 {
		limit = time.Duration(assignment.Pool.DrainLimit)
	}
	log := aglog.New("request")
	task := func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if err := d.server.Drain(ctx); err != nil {
			log.WithError(err).Warn("Requests were cut off.")
		}
		return nil
	}
	if err := d.group.Start("drain", task); err != nil {
		log.WithError(err).Error("Drain was not started.")
	}
}
