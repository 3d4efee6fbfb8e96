package agscenario

// The address plan: every fleet reserves its own second octet of the loopback
// network, so that several fleets, also of different runs, can share a machine.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	firstOctet         = 1
	maxFleets          = 60
	callerOffset       = 60
	fabricCallerOffset = 120

	portAPI       = 7000
	portFabric    = 7001
	portDatagram  = 7401
	portPeer      = 7402
	portAdmin     = 7403
	portAgent     = 7501
	portControl   = 7502
	portBackend   = 9001
	portService   = 7101
	portLock      = 7999
	portFlows     = 20000
	portFabricOut = 21000
)

// plan assigns addresses. Processes bind real addresses; the fabric listens on
// advertised addresses and forwards to the real ones.
type plan struct {
	octet int
	lock  net.Listener
	// nextCaller is the number of the last assigned IP address of an HTTP/3
	// caller.
	nextCaller int
}

// newPlan reserves an octet by binding a port of an address in it.
func newPlan(ctx context.Context) (*plan, error) {
	var config net.ListenConfig
	for octet := firstOctet; octet < firstOctet+maxFleets; octet++ {
		lock, err := config.Listen(ctx, "tcp4", fmt.Sprintf("127.%d.0.254:%d", octet, portLock))
		if err == nil {
			return &plan{octet: octet, lock: lock}, nil
		}
	}
	return nil, errors.New("every loopback octet is in use by another run")
}

func (p *plan) release() {
	_ = p.lock.Close()
}

func (p *plan) ip(part, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(p.octet), byte(part), byte(number)})
}

func addrPort(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(port))
}

func (p *plan) api() netip.AddrPort    { return addrPort(p.ip(0, 1), portAPI) }
func (p *plan) fabric() netip.AddrPort { return addrPort(p.ip(0, 2), portFabric) }

// relay returns the TCP address at which a process reaches the object API. Number
// 0 is for operators; hosts do not use the object API.
func (p *plan) relay(number int) netip.AddrPort { return addrPort(p.ip(3, number+1), portAPI) }

func (p *plan) balancer(number int) netip.Addr           { return p.ip(1, number) }
func (p *plan) advertisedBalancer(number int) netip.Addr { return p.ip(4, number) }
func (p *plan) host(number int) netip.Addr               { return p.ip(2, number) }
func (p *plan) advertisedHost(number int) netip.Addr     { return p.ip(5, number) }

// service returns the address of a route. Numbers start at 0; each has its own IP
// address and port.
func (p *plan) service(number int) netip.AddrPort {
	return addrPort(p.ip(6, number+1), portService+number)
}

// flows returns the IP prefix of UDP flows. HTTP/3 callers use the upper half of
// the same /16 range.
func (p *plan) flows() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(p.octet + callerOffset), 0, 0}), 17)
}

func (p *plan) fabricCallers() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(p.octet + fabricCallerOffset), 0, 0}), 16)
}

func (p *plan) callers(count int) []netip.Addr {
	found := make([]netip.Addr, 0, count)
	for range count {
		p.nextCaller++
		found = append(found, netip.AddrFrom4([4]byte{
			127, byte(p.octet + callerOffset), byte(128 + p.nextCaller/250), byte(1 + p.nextCaller%250),
		}))
	}
	return found
}
