// The relay of plain UDP flows to the backend server on loopback.
//
// Each flow has its own connected socket, so the backend server receives the
// packets of a flow from one source address and its answers need no addressing.
// The reader of a socket takes a buffer from a pool only when an answer is ready.
// If each reader held a buffer while it waits, 2,000 open flows would occupy
// 128 MB of idle buffers.

package agflow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// maxPayload is the largest UDP payload over IPv4.
const maxPayload = 65507

// Sender seals and sends a datagram to a balancer or an agent.
type Sender func(to netip.AddrPort, kind agheader.Kind, header *agheader.Header, payload []byte) error

// RelayOptions are the dependencies of a Relay.
type RelayOptions struct {
	Machine  *Machine
	Backends map[anvilglade.ServiceNumber]netip.AddrPort
	Send     Sender
	Clock    anvilglade.Clock
	Group    *agtask.Group
	// OnBackendRefused is called when a backend server refuses a datagram; it
	// may be nil.
	OnBackendRefused func(anvilglade.ServiceNumber)
}

// Relay transfers the packets of plain UDP flows between the agent and the
// backend server. It is safe for concurrent use.
type Relay struct {
	options RelayOptions
	buffers sync.Pool
	dialer  net.Dialer

	mu      sync.Mutex
	sockets map[*Flow]*net.UDPConn

	failures, answers atomic.Uint64
}

// NewRelay returns a Relay and a function that closes all its sockets. The error
// is always nil.
func NewRelay(options RelayOptions) (*Relay, func(), error) {
	r := &Relay{options: options, sockets: make(map[*Flow]*net.UDPConn)}
	r.buffers.New = func() any { return new([maxPayload]byte) }
	return r, r.close, nil
}

// Deliver sends a caller's payload to the backend server of the flow's service.
// It returns DropNone, or the reason for which the payload was dropped.
func (r *Relay) Deliver(ctx context.Context, flow *Flow, payload []byte) anvilglade.Drop {
	socket, err := r.socket(ctx, flow)
	if err != nil {
		r.failures.Add(1)
		return anvilglade.DropNoHost
	}
	if _, err := socket.Write(payload); err != nil {
		r.countFailure(flow, err)
		return anvilglade.DropNoHost
	}
	return anvilglade.DropNone
}

// End closes the socket of a flow that has ended.
func (r *Relay) End(flow *Flow) {
	r.mu.Lock()
	socket := r.sockets[flow]
	delete(r.sockets, flow)
	r.mu.Unlock()
	if socket != nil {
		_ = socket.Close()
	}
}

// Failures returns the number of datagrams that could not be delivered to a
// backend server, and of answers that could not be sent.
func (r *Relay) Failures() uint64 {
	return r.failures.Load()
}

// Answers returns the number of datagrams received from backend servers.
func (r *Relay) Answers() uint64 {
	return r.answers.Load()
}

func (r *Relay) socket(ctx context.Context, flow *Flow) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if socket := r.sockets[flow]; socket != nil {
		return socket, nil
	}
	backend, ok := r.options.Backends[flow.Service]
	if !ok {
		return nil, fmt.Errorf("no backend address for service %x", uint64(flow.Service))
	}
	connection, err := r.dialer.DialContext(ctx, "udp", backend.String())
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s: %w", backend, err)
	}
	socket, ok := connection.(*net.UDPConn)
	if !ok {
		return nil, errors.Join(errors.New("connection to the backend server is not UDP"), connection.Close())
	}
	if err := r.options.Group.Start("relay "+flow.Key.String(), func(context.Context) error { return r.read(flow, socket) }); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	r.sockets[flow] = socket
	return socket, nil
}

// read forwards the answers of the backend server until the socket is closed.
func (r *Relay) read(flow *Flow, socket *net.UDPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil //nolint:nilerr // The flow has ended before its reader began.
	}
	for {
		var buffer *[maxPayload]byte
		var size int
		var failure error
		if err := raw.Read(func(descriptor uintptr) bool {
			buffer, _ = r.buffers.Get().(*[maxPayload]byte)
			size, failure = syscall.Read(int(descriptor), buffer[:])
			if errors.Is(failure, syscall.EAGAIN) || errors.Is(failure, syscall.EINTR) {
				r.buffers.Put(buffer)
				return false
			}
			return true
		}); err != nil {
			return nil //nolint:nilerr // Only a closed socket ends the wait.
		}
		if failure != nil {
			r.countFailure(flow, failure)
		} else {
			r.answer(flow, buffer[:size])
		}
		r.buffers.Put(buffer)
	}
}

func (r *Relay) answer(flow *Flow, payload []byte) {
	r.answers.Add(1)
	balancer, ok := r.options.Machine.AnswerBalancer(r.options.Clock.Now(), flow)
	if !ok {
		return
	}
	header := agheader.Header{
		Service: flow.Service, Protocol: flow.Protocol, Flow: flow.Key,
		Caller: flow.Caller, ServiceAddress: flow.ServiceAddress, Balancer: balancer,
	}
	if err := r.options.Send(balancer, agheader.KindReply, &header, payload); err != nil {
		r.failures.Add(1)
	}
}

func (r *Relay) countFailure(flow *Flow, err error) {
	r.failures.Add(1)
	if r.options.OnBackendRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
		r.options.OnBackendRefused(flow.Service)
	}
}

func (r *Relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for flow, socket := range r.sockets {
		_ = socket.Close()
		delete(r.sockets, flow)
	}
}
