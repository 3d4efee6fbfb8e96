package agfabric

// The side that faces callers. Each caller gets an IP of its own out of a
// loopback prefix, as seen by the balancers. One wildcard socket sends from all
// of them by the source address in the control message; a socket for each of
// thousands of callers would need as many tasks.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/net/ipv4"
)

type callerSide struct {
	prefix  netip.Prefix
	packets *ipv4.PacketConn
	socket  *net.UDPConn

	mu     sync.RWMutex
	next   netip.Addr
	seen   map[netip.AddrPort]netip.Addr
	behind map[netip.Addr]netip.AddrPort
}

func newCallerSide(prefix netip.Prefix, port uint16) (*callerSide, error) {
	socket, err := listen(netip.AddrPortFrom(netip.IPv4Unspecified(), port))
	if err != nil {
		return nil, err
	}
	packets := ipv4.NewPacketConn(socket)
	if err := packets.SetControlMessage(ipv4.FlagDst, true); err != nil {
		return nil, fmt.Errorf("ask for destination addresses: %w", err)
	}
	return &callerSide{
		prefix:  prefix,
		packets: packets,
		socket:  socket,
		next:    prefix.Addr().Next(),
		seen:    map[netip.AddrPort]netip.Addr{},
		behind:  map[netip.Addr]netip.AddrPort{},
	}, nil
}

// address returns the IP that stands for a caller, and false if the prefix is
// used up.
func (c *callerSide) address(caller netip.AddrPort) (netip.Addr, bool) {
	c.mu.RLock()
	known, ok := c.seen[caller]
	c.mu.RUnlock()
	if ok {
		return known, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok = c.seen[caller]; ok {
		return known, true
	}
	if !c.prefix.Contains(c.next) {
		return netip.Addr{}, false
	}
	address := c.next
	c.next = address.Next()
	c.seen[caller], c.behind[address] = address, caller
	return address, true
}

func (c *callerSide) caller(address netip.Addr) (netip.AddrPort, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	caller, ok := c.behind[address]
	return caller, ok
}

// spray reads a service address and sends each datagram to one of the living
// balancers.
func (f *Fabric) spray(ctx context.Context, service *serviceState, random *rand.Rand) error {
	living := make([]*partyState, 0, 16)
	return readLoop(ctx, service.socket, func(data []byte, source netip.AddrPort) {
		living = living[:0]
		for _, party := range f.view.Load().parties {
			if party.Ingress.IsValid() && party.living.Load() {
				living = append(living, party)
			}
		}
		if len(living) == 0 {
			f.failures.Add(1)
			return
		}
		address, ok := f.callers.address(source)
		if !ok {
			f.failures.Add(1)
			return
		}
		balancer := living[random.IntN(len(living))]
		to := netip.AddrPortFrom(balancer.Ingress, service.Address.Port())
		path := link{from: outside, to: balancer.names, class: ClassData}
		f.pass(path, data, func(data []byte) {
			control := &ipv4.ControlMessage{Src: address.AsSlice()}
			if _, err := f.callers.packets.WriteTo(data, control, net.UDPAddrFromAddrPort(to)); err != nil {
				f.failures.Add(1)
			}
		})
	})
}

var outside = map[string]bool{groupCallers: true}

// returnToCallers reads what balancers send to callers.
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
		f.returnOne(buf[:n], control.Dst, from.AddrPort())
	}
}

func (f *Fabric) returnOne(data []byte, destination net.IP, source netip.AddrPort) {
	now := f.view.Load()
	balancer, known := now.byIngress[source.Addr().Unmap()]
	service, served := now.services[source.Port()]
	address, valid := netip.AddrFromSlice(destination.To4())
	if !known || !served || !valid {
		f.unknown.Add(1)
		return
	}
	caller, ok := f.callers.caller(address)
	if !ok {
		f.unknown.Add(1)
		return
	}
	f.deliver(link{from: balancer.names, to: outside, class: ClassData}, data, service.socket, caller)
}
