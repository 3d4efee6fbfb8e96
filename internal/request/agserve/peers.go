package agserve

// HTTP/3 with mutual TLS between agents, to offer requests that have not run to
// other hosts and to forward reports to the issuer of their ticket. A process has
// one Peers for all its services; it listens and dials on the same socket.

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
)

const (
	headerForwarded   = "Anvilglade-Forwarded"
	headerService     = "Anvilglade-Service"
	headerUtilisation = "Anvilglade-Utilisation"
	// headerRefusal has the reason why an agent refused an offered request.
	headerRefusal = "Anvilglade-Refusal"

	// forwardOffer offers a request that has not run.
	forwardOffer = "Place"
	// forwardTicket forwards a report to the issuer of its ticket.
	forwardTicket = "Ticket"
)

const (
	peerIdleTimeout = 5 * time.Second
	peerKeepAlive   = 2 * time.Second
	// peerDialTimeout limits the delay that an unreachable peer adds to a
	// refusal.
	peerDialTimeout = 250 * time.Millisecond
	// unreachablePause is the time for which a peer is skipped after a
	// connection to it could not be established.
	unreachablePause = 3 * time.Second
	// utilisationMaxAge is the time for which a reported utilisation is used.
	utilisationMaxAge = 500 * time.Millisecond
	// capacityPause is the time for which a peer is skipped after it refused
	// for lack of capacity. A full host has a free slot again within a fraction
	// of its service time; a pause of 500 ms leaves an eighth of the capacity
	// unused at full load.
	capacityPause = 5 * time.Millisecond
	// unavailablePause is the time for which a peer is skipped after a refusal
	// that persists: the backend server fails, the host drains or its data centre is
	// out of service.
	unavailablePause = 2 * time.Second
	// maxPeerStreams is the maximum number of concurrent requests from one
	// agent. It is above the number of connections of a host, because a request
	// that waits for a stream would be queued.
	maxPeerStreams = 4096
	// maxPeerStates is the maximum number of hosts with a peerState. When it is
	// reached, all states are dropped.
	maxPeerStates = 8192
)

// PeersOptions are the socket and the identity of the connections between agents.
type PeersOptions struct {
	// Conn is the control socket.
	Conn net.PacketConn
	// Address is the advertised control address of this agent.
	Address netip.AddrPort
	// ServerTLS and ClientTLS authenticate both sides, as returned by
	// agkeys.ProcessTLS.
	ServerTLS, ClientTLS *tls.Config
	ResetKey             *quic.StatelessResetKey
	Clock                anvilglade.Clock
}

// Peers holds the connections between this agent and the agents of other hosts. It
// is safe for concurrent use.
type Peers struct {
	options   PeersOptions
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	client    *http3.Transport

	mu      sync.Mutex
	servers map[anvilglade.ServiceID]*Server
	// connections has the newest connection that was dialled to each agent.
	connections map[netip.AddrPort]*quic.Conn
	states      map[netip.AddrPort]peerState
}

// peerState is the last reported state of another host.
type peerState struct {
	utilisation anvilglade.Utilisation
	reportedAt  time.Time
	// pausedUntil is the end of the pause after the peer was unreachable or
	// refused a request.
	pausedUntil time.Time
}

// NewPeers returns a Peers that listens on options.Conn. It returns an error if
// options are missing or listening fails. The returned function closes all
// connections; Conn stays open.
func NewPeers(options PeersOptions) (*Peers, func(), error) {
	if options.Conn == nil || options.ServerTLS == nil || options.ClientTLS == nil {
		return nil, nil, errors.New("connections between agents: Conn, ServerTLS or ClientTLS is missing")
	}
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	p := &Peers{
		options:     options,
		transport:   &quic.Transport{Conn: options.Conn, StatelessResetKey: options.ResetKey},
		servers:     make(map[anvilglade.ServiceID]*Server),
		connections: make(map[netip.AddrPort]*quic.Conn),
		states:      make(map[netip.AddrPort]peerState),
	}
	config := quicConfig(peerIdleTimeout, peerKeepAlive)
	config.MaxIncomingStreams = maxPeerStreams
	listener, err := p.transport.ListenEarly(http3.ConfigureTLSConfig(options.ServerTLS), config)
	if err != nil {
		return nil, nil, fmt.Errorf("connections between agents: listen: %w", err)
	}
	p.listener = listener
	p.server = &http3.Server{Handler: http.HandlerFunc(p.serve), MaxHeaderBytes: maxHeaderBytes}
	clientConfig := config.Clone()
	clientConfig.MaxIncomingStreams = -1
	p.client = &http3.Transport{
		TLSClientConfig:    options.ClientTLS,
		QUICConfig:         clientConfig,
		Dial:               p.dial,
		DisableCompression: true,
	}
	return p, p.close, nil
}

// Run serves requests from other agents until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	err := p.server.ServeListener(p.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return fmt.Errorf("connections between agents: %w", err)
	}
	return nil
}

func (p *Peers) close() {
	_ = p.client.Close()
	_ = p.listener.Close()
	_ = p.server.Close()
	_ = p.transport.Close()
}

// Drop closes the connection to another agent and aborts its requests. It is for
// agents whose data centre was taken out of service: without it the connection
// would continue to send keep-alive packets there.
func (p *Peers) Drop(address netip.AddrPort) {
	p.mu.Lock()
	conn := p.connections[address]
	delete(p.connections, address)
	p.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(noErrorCode, "data centre is out of service")
	}
}

// DropAll closes all connections that this agent opened to other agents. The
// others close their connections to this agent with Drop.
func (p *Peers) DropAll() {
	p.mu.Lock()
	conns := p.connections
	p.connections = make(map[netip.AddrPort]*quic.Conn)
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(noErrorCode, "data centre is out of service")
	}
}

func (p *Peers) register(service anvilglade.ServiceID, server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[service] = server
}

func (p *Peers) unregister(service anvilglade.ServiceID, server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[service] == server {
		delete(p.servers, service)
	}
}

// serve dispatches a request from another agent to the server of its service.
func (p *Peers) serve(w http.ResponseWriter, r *http.Request) {
	service := anvilglade.ServiceID(r.Header.Get(headerService))
	p.mu.Lock()
	server, ok := p.servers[service]
	p.mu.Unlock()
	if ok {
		server.servePeer(w, r)
		return
	}
	problem := agproblem.New(agproblem.NotRun, fmt.Sprintf("host does not serve %q", service))
	if r.Header.Get(headerForwarded) == forwardTicket {
		problem = agproblem.New(agproblem.OutcomeUnknown, fmt.Sprintf("issuer does not serve %q any more", service))
		problem.AttemptNotRun = true
	}
	problem.Write(w)
}

func (p *Peers) dial(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
	agentAddress, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial agent: %w", err)
	}
	dialCtx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	conn, err := p.transport.Dial(dialCtx, net.UDPAddrFromAddrPort(agentAddress), tlsConfig, config)
	if err != nil {
		p.update(agentAddress, func(state *peerState) { state.pausedUntil = p.options.Clock.Now().Add(unreachablePause) })
		return nil, fmt.Errorf("dial agent %s: %w", agentAddress, err)
	}
	p.mu.Lock()
	p.connections[agentAddress] = conn
	p.mu.Unlock()
	context.AfterFunc(conn.Context(), func() { p.removeConn(agentAddress, conn) })
	return conn, nil
}

func (p *Peers) removeConn(address netip.AddrPort, conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections[address] == conn {
		delete(p.connections, address)
	}
}

// send sends the request to another agent and waits for the response headers.
// Reached is false if no connection was established.
func (p *Peers) send(ctx context.Context, address netip.AddrPort, service anvilglade.ServiceID, kind string, c *call) (response *http.Response, reached bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached = true }}
	request := c.newRequest(httptrace.WithClientTrace(ctx, trace), "https", address.String(), p.options.Clock.Now())
	request.Header.Set(headerForwarded, kind)
	request.Header.Set(headerService, string(service))
	response, err = p.client.RoundTrip(request)
	if err != nil {
		return nil, reached, fmt.Errorf("agent %s: %w", address, err)
	}
	if value, err := strconv.ParseUint(response.Header.Get(headerUtilisation), 10, 16); err == nil {
		now := p.options.Clock.Now()
		p.update(address, func(state *peerState) {
			state.utilisation, state.reportedAt = anvilglade.Utilisation(value), now
			if refusal := response.Header.Get(headerRefusal); refusal != "" {
				state.pausedUntil = now.Add(refusalPause(anvilglade.Refusal(refusal)))
			}
		})
	}
	if id := response.Header.Get(agproblem.HeaderRequestID); id != "" && id != string(c.id) {
		_ = response.Body.Close()
		return nil, true, fmt.Errorf("agent %s: %w", address, errWrongRequest)
	}
	return response, true, nil
}

func (p *Peers) update(address netip.AddrPort, change func(*peerState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.states) >= maxPeerStates {
		clear(p.states)
	}
	state := p.states[address]
	change(&state)
	p.states[address] = state
}

// utilisationOf returns the utilisation of a peer, and false if the peer is to be
// skipped now. A peer without a recent report counts as half utilised.
func (p *Peers) utilisationOf(address netip.AddrPort) (anvilglade.Utilisation, bool) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.states[address]
	if !ok {
		return anvilglade.FullUtilisation / 2, true
	}
	if now.Before(state.pausedUntil) {
		return 0, false
	}
	if state.reportedAt.IsZero() || now.Sub(state.reportedAt) > utilisationMaxAge {
		return anvilglade.FullUtilisation / 2, true
	}
	return state.utilisation, true
}

// refusalPause returns the time for which a peer is skipped after a refusal.
func refusalPause(refusal anvilglade.Refusal) time.Duration {
	switch refusal {
	case anvilglade.RefusalFailing, anvilglade.RefusalDraining, anvilglade.RefusalOut:
		return unavailablePause
	default:
		return capacityPause
	}
}
