package agscenario

// The address plan: every fleet takes a loopback octet of its own, so that
// several fleets, also of several runs, are on the machine at once.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	firstOctet   = 1
	fleets       = 60
	callerOffset = 60
	behindOffset = 120

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

// plan gives addresses. Real addresses are those that processes bind,
// advertised ones those of the fabric.
type plan struct {
	octet int
	lock  net.Listener
	// nextCaller numbers the IPs of HTTP/3 callers.
	nextCaller int
}

// newPlan reserves an octet by binding a port in it.
func newPlan(ctx context.Context) (*plan, error) {
	var config net.ListenConfig
	for octet := firstOctet; octet < firstOctet+fleets; octet++ {
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

func at(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(port))
}

func (p *plan) api() netip.AddrPort    { return at(p.ip(0, 1), portAPI) }
func (p *plan) fabric() netip.AddrPort { return at(p.ip(0, 2), portFabric) }

// relay is the TCP address at which a process reaches the object API. Number 0
// is for operators; hosts do not use the object API.
func (p *plan) relay(number int) netip.AddrPort { return at(p.ip(3, number+1), portAPI) }

func (p *plan) balancer(number int) netip.Addr      { return p.ip(1, number) }
func (p *plan) balancerFront(number int) netip.Addr { return p.ip(4, number) }
func (p *plan) host(number int) netip.Addr          { return p.ip(2, number) }
func (p *plan) hostFront(number int) netip.Addr     { return p.ip(5, number) }

// service numbers start at 0; each has a port of its own.
func (p *plan) service(number int) netip.AddrPort {
	return at(p.ip(6, number+1), portService+number)
}

// flows is the prefix of the IPs of UDP flows; HTTP/3 callers have the upper
// half of the same range.
func (p *plan) flows() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(p.octet + callerOffset), 0, 0}), 17)
}

func (p *plan) behind() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(p.octet + behindOffset), 0, 0}), 16)
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
