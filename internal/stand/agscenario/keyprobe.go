package agscenario

// Probes sealed with datagram keys, which simulate an attacker who has a key. Each
// probe carries the first packet of a new flow and is sent to every agent. An agent
// that accepts it sends an answer to the balancer address in the probe.

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agheader"
	"github.com/anvilglade/anvilglade/internal/packet/agseal"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	probeWait = time.Second
	// probePort is the caller port in the probes; no process listens on it.
	probePort = 9
)

// readKeys returns the current key bundle from the object API.
func (f *Fleet) readKeys(ctx context.Context) (anvilglade.KeyBundle, error) {
	object, err := readObject(ctx, f.plan.relay(0), string(anvilglade.RecordKeys), "current")
	if err != nil {
		return anvilglade.KeyBundle{}, fmt.Errorf("read keys: %w", err)
	}
	return agkeys.Decode(object.Data)
}

// readObject reads an object from the test double of the platform's object API.
func readObject(ctx context.Context, api netip.AddrPort, kind, name string) (anvilglade.Object, error) {
	store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: "http://" + api.String()})
	if err != nil {
		return anvilglade.Object{}, err
	}
	defer stop()
	return store.Get(ctx, kind, name)
}

// probeKeys sends every agent a probe that is sealed with the current key of the
// bundle. It returns how many probes were sent and how many were answered.
func (f *Fleet) probeKeys(bundle anvilglade.KeyBundle) (sent, answered int, err error) {
	secrets, err := agkeys.ParseJoinSecrets(f.secret)
	if err != nil {
		return 0, 0, err
	}
	ring, err := agkeys.NewRing(secrets)
	if err != nil {
		return 0, 0, err
	}
	ring.Adopt(bundle, 1)
	sealer, err := agseal.NewSealer(ring)
	if err != nil {
		return 0, 0, err
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, 0, fmt.Errorf("listen for answers to probes: %w", err)
	}
	defer func() { _ = socket.Close() }()
	local, ok := socket.LocalAddr().(*net.UDPAddr)
	if !ok {
		return 0, 0, fmt.Errorf("address %v is not a UDP address", socket.LocalAddr())
	}
	for _, item := range f.runningHosts() {
		if err := f.sendProbe(socket, sealer, item, local.AddrPort(), sent); err != nil {
			return sent, 0, err
		}
		sent++
	}
	buffer := make([]byte, agseal.MaxDatagram)
	if err := socket.SetReadDeadline(time.Now().Add(probeWait)); err != nil {
		return sent, 0, fmt.Errorf("wait for answers to probes: %w", err)
	}
	for {
		if _, _, err := socket.ReadFromUDPAddrPort(buffer); err != nil {
			return sent, answered, nil
		}
		answered++
	}
}

func (f *Fleet) sendProbe(socket *net.UDPConn, sealer *agseal.Sealer, item *host, answers netip.AddrPort, number int) error {
	service, err := f.serviceAddress(item.service, false)
	if err != nil {
		return err
	}
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 250, 0, byte(number)}), probePort)
	id := anvilglade.ServiceID(item.service).Number()
	plain, err := agheader.Append(nil, &agheader.Header{
		Service:        id,
		Protocol:       anvilglade.ProtocolUDP,
		Flow:           anvilglade.NewFlowKey(id, caller) + anvilglade.FlowKey(time.Now().UnixNano()),
		Caller:         caller,
		ServiceAddress: service,
		Balancer:       answers,
		Candidates:     []anvilglade.Candidate{{Address: addrPort(f.plan.advertisedHost(item.number), portAgent), Accepts: true}},
	})
	if err != nil {
		return fmt.Errorf("encode probe: %w", err)
	}
	datagram, err := sealer.Seal(nil, agheader.KindLookup, append(plain, "probe"...))
	if err != nil {
		return fmt.Errorf("seal probe: %w", err)
	}
	if _, err := socket.WriteToUDPAddrPort(datagram, addrPort(f.plan.host(item.number), portAgent)); err != nil {
		return fmt.Errorf("send probe: %w", err)
	}
	return nil
}

func (f *Fleet) runningHosts() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*host
	for _, item := range f.hosts {
		if !item.stopped {
			running = append(running, item)
		}
	}
	return running
}
