package agserve

// HTTP/3 with mutual TLS between agents: placing of requests that have not run,
// and passing of reports to the issuer of their ticket. There is one Peers for
// all services of a process; it listens and dials on the same socket.

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
	// headerRefusal has the reason for which an agent refused an offered call.
	headerRefusal = "Anvilglade-Refusal"

	// forwardPlace offers a request that has not run.
	forwardPlace = "Place"
	// forwardTicket passes a report to the issuer of its ticket.
	forwardTicket = "Ticket"
)

const (
	peerIdleTimeout = 5 * time.Second
	peerKeepAlive   = 2 * time.Second
	// peerDialTimeout bounds what a dead peer adds to a refusal.
	peerDialTimeout = 250 * time.Millisecond
	// peerDownTime is how long a peer that could not be reached is left out.
	peerDownTime = 3 * time.Second
	// utilisationLife is how long a reported utilisation counts.
	utilisationLife = 500 * time.Millisecond
	// fullPause is how long a peer that refused is left out. A full host has a
	// slot again within a part of its service time; leaving it out for 500 ms
	// left an eighth of the capacity unused at full load.
	fullPause = 5 * time.Millisecond
	// closedPause is the pause after a refusal that lasts: the server fails, or
	// the host drains.
	closedPause = 2 * time.Second
	// maxPeerStreams bounds the requests at once from one agent. It is above
	// the connections of a host, as a request that waits for a stream would be
	// a request in a queue.
	maxPeerStreams = 4096
	// maxPeerStates bounds the memory for other hosts of the services.
	maxPeerStates = 8192
)

// PeersOptions are the socket and identity of the agent-to-agent connections.
type PeersOptions struct {
	// Conn is the control socket.
	Conn net.PacketConn
	// Address is the advertised control address of this agent.
	Address netip.AddrPort
	// ServerTLS and ClientTLS authenticate both sides, as of
	// agkeys.ProcessTLS.
	ServerTLS, ClientTLS *tls.Config
	ResetKey             *quic.StatelessResetKey
	Clock                anvilglade.Clock
}

// Peers is safe for concurrent use.
type Peers struct {
	options   PeersOptions
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	client    *http3.Transport

	mu      sync.Mutex
	servers map[anvilglade.ServiceID]*Server
	// dialed has the newest connection to each agent.
	dialed map[netip.AddrPort]*quic.Conn
	states map[netip.AddrPort]peerState
}

type peerState struct {
	utilisation anvilglade.Utilisation
	reportedAt  time.Time
	// downUntil is the end of the pause after the peer was not reached or
	// refused.
	downUntil time.Time
}

// NewPeers listens on the control socket. The returned function closes all
// connections; it leaves Conn open.
func NewPeers(options PeersOptions) (*Peers, func(), error) {
	if options.Conn == nil || options.ServerTLS == nil || options.ClientTLS == nil {
		return nil, nil, errors.New("connections between agents: Conn, ServerTLS or ClientTLS is missing")
	}
	if options.Clock == nil {
		options.Clock = anvilglade.SystemClock{}
	}
	p := &Peers{
		options:   options,
		transport: &quic.Transport{Conn: options.Conn, StatelessResetKey: options.ResetKey},
		servers:   make(map[anvilglade.ServiceID]*Server),
		dialed:    make(map[netip.AddrPort]*quic.Conn),
		states:    make(map[netip.AddrPort]peerState),
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

// Run serves other agents until ctx ends.
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

// Drop closes the connection to another agent with all its requests. It is for
// agents whose data centre was taken out of service: the keep-alives of the
// connection would go on there.
func (p *Peers) Drop(address netip.AddrPort) {
	p.mu.Lock()
	conn := p.dialed[address]
	delete(p.dialed, address)
	p.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(noErrorCode, "data centre is out of service")
	}
}

// DropAll closes the connections that this agent opened to others. The others
// close theirs to it by Drop.
func (p *Peers) DropAll() {
	p.mu.Lock()
	conns := p.dialed
	p.dialed = make(map[netip.AddrPort]*quic.Conn)
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

// serve hands a request of another agent to the server of its service.
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
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial agent: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	conn, err := p.transport.Dial(limited, net.UDPAddrFromAddrPort(parsed), tlsConfig, config)
	if err != nil {
		p.update(parsed, func(state *peerState) { state.downUntil = p.options.Clock.Now().Add(peerDownTime) })
		return nil, fmt.Errorf("dial agent %s: %w", parsed, err)
	}
	p.mu.Lock()
	p.dialed[parsed] = conn
	p.mu.Unlock()
	context.AfterFunc(conn.Context(), func() { p.forget(parsed, conn) })
	return conn, nil
}

func (p *Peers) forget(address netip.AddrPort, conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialed[address] == conn {
		delete(p.dialed, address)
	}
}

// send passes the call to another agent and waits for the head of the answer.
// Reached is false if no connection was made.
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
				state.downUntil = now.Add(pauseAfter(anvilglade.Refusal(refusal)))
			}
		})
	}
	if id := response.Header.Get(agproblem.HeaderRequestID); id != "" && id != string(c.id) {
		_ = response.Body.Close()
		return nil, true, fmt.Errorf("agent %s: %w", address, errForeign)
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

// known returns the utilisation of a peer, and false if the peer should not be
// asked now. A peer of unknown utilisation counts as half full.
func (p *Peers) known(address netip.AddrPort) (anvilglade.Utilisation, bool) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.states[address]
	if !ok {
		return anvilglade.FullUtilisation / 2, true
	}
	if now.Before(state.downUntil) {
		return 0, false
	}
	if state.reportedAt.IsZero() || now.Sub(state.reportedAt) > utilisationLife {
		return anvilglade.FullUtilisation / 2, true
	}
	return state.utilisation, true
}

// pauseAfter returns how long a peer that refused is left out.
func pauseAfter(refusal anvilglade.Refusal) time.Duration {
	switch refusal {
	case anvilglade.RefusalFailing, anvilglade.RefusalDraining, anvilglade.RefusalOut:
		return closedPause
	default:
		return fullPause
	}
}
