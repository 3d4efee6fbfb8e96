package agfabric

// Address translation for callers. Balancers receive the packets of each caller
// from its own IP address in a loopback prefix. One wildcard socket sends from all
// of these addresses, with the source address in the control message of each datagram.
// One socket per caller would need a task for each of thousands of callers.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/net/ipv4"
)

type callerNAT struct {
	prefix  netip.Prefix
	packets *ipv4.PacketConn
	socket  *net.UDPConn

	mu        sync.RWMutex
	next      netip.Addr
	byCaller  map[netip.AddrPort]netip.Addr
	byAddress map[netip.Addr]netip.AddrPort
}

func newCallerNAT(prefix netip.Prefix, port uint16) (*callerNAT, error) {
	socket, err := listen(netip.AddrPortFrom(netip.IPv4Unspecified(), port))
	if err != nil {
		return nil, err
	}
	packets := ipv4.NewPacketConn(socket)
	if err := packets.SetControlMessage(ipv4.FlagDst, true); err != nil {
		return nil, fmt.Errorf("enable destination addresses in control messages: %w", err)
	}
	return &callerNAT{
		prefix:    prefix,
		packets:   packets,
		socket:    socket,
		next:      prefix.Addr().Next(),
		byCaller:  map[netip.AddrPort]netip.Addr{},
		byAddress: map[netip.Addr]netip.AddrPort{},
	}, nil
}

// address returns the IP address assigned to a caller and assigns one to a new
// caller. It returns false if the prefix is exhausted.
func (c *callerNAT) address(caller netip.AddrPort) (netip.Addr, bool) {
	c.mu.RLock()
	existing, ok := c.byCaller[caller]
	c.mu.RUnlock()
	if ok {
		return existing, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok = c.byCaller[caller]; ok {
		return existing, true
	}
	if !c.prefix.Contains(c.next) {
		return netip.Addr{}, false
	}
	address := c.next
	c.next = address.Next()
	c.byCaller[caller], c.byAddress[address] = address, caller
	return address, true
}

func (c *callerNAT) caller(address netip.Addr) (netip.AddrPort, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	caller, ok := c.byAddress[address]
	return caller, ok
}

// distribute reads datagrams from a service address and sends each to a random ready
// balancer.
func (f *Fabric) distribute(ctx context.Context, service *serviceState, random *rand.Rand) error {
	ready := make([]*partyState, 0, 16)
	return readLoop(ctx, service.socket, func(data []byte, source netip.AddrPort) {
		ready = ready[:0]
		for _, party := range f.view.Load().parties {
			if party.Ingress.IsValid() && party.ready.Load() {
				ready = append(ready, party)
			}
		}
		if len(ready) == 0 {
			f.failures.Add(1)
			return
		}
		address, ok := f.callers.address(source)
		if !ok {
			f.failures.Add(1)
			return
		}
		balancer := ready[random.IntN(len(ready))]
		to := netip.AddrPortFrom(balancer.Ingress, service.Address.Port())
		path := link{from: callerNames, to: balancer.names, class: ClassData}
		f.sendWithFaults(path, data, func(data []byte) {
			control := &ipv4.ControlMessage{Src: address.AsSlice()}
			if _, err := f.callers.packets.WriteTo(data, control, net.UDPAddrFromAddrPort(to)); err != nil {
				f.failures.Add(1)
			}
		})
	})
}

var callerNames = map[string]bool{groupCallers: true}

// returnToCallers forwards datagrams of balancers to callers until ctx ends.
func (f *Fabric) returnToCallers(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = f.callers.socket.Close() })()
	buf := make([]byte, datagramSize)
	for {
		n, control, source, err := f.callers.packets.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("read datagrams for callers: %w", err)
		}
		from, ok := source.(*net.UDPAddr)
		if !ok || control == nil {
			continue
		}
		f.returnDatagram(buf[:n], control.Dst, from.AddrPort())
	}
}

func (f *Fabric) returnDatagram(data []byte, destination net.IP, source netip.AddrPort) {
	current := f.view.Load()
	balancer, known := current.byIngress[source.Addr().Unmap()]
	service, served := current.services[source.Port()]
	address, valid := netip.AddrFromSlice(destination.To4())
	if !known || !served || !valid {
		f.unknownSenders.Add(1)
		return
	}
	caller, ok := f.callers.caller(address)
	if !ok {
		f.unknownSenders.Add(1)
		return
	}
	f.deliver(link{from: balancer.names, to: callerNames, class: ClassData}, data, service.socket, caller)
}
