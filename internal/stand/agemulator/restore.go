package agemulator

// The restoration of the store from an older copy, the check that processes list themselves
// again, and the check that routes which operators have added are served.

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agregistry"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	// maxCopyAge is the age of the copy from which the store is restored if Share is 1.
	maxCopyAge = 10 * time.Second
	// rewriteDelay is the maximum time from the return of a restored store until
	// operators have written again what it lacks.
	rewriteDelay = 800 * time.Millisecond
	// applyLimit is the time within which a desired state takes effect.
	applyLimit = 3 * time.Second
	// listLimit is the time after which processes have listed themselves again in a store
	// that was restored.
	listLimit = 4 * time.Second
	// maxProbes is the number of flows that are opened on a new route before it counts as
	// not served.
	maxProbes = 3
	// proberHost is the last byte of the address of probers. Callers have lower ones.
	proberHost = 200
)

// restoreStore restores the store from an older copy and leaves it away for the duration
// of the trouble. After its return operators write again what it lacks.
func restoreStore(ctx context.Context, f *fleet, t Trouble) error {
	f.markStoreDisturbed(time.Duration(t.For) + rewriteDelay)
	f.store.Objects().Restore(time.Duration(t.Share * float64(maxCopyAge)))
	if err := f.store.Play(agapi.Script{Seed: f.options.Seed, Steps: []agapi.Step{{Faults: agapi.Faults{Outage: true}}, {After: t.For}}}); err != nil {
		return err
	}
	delay := rewriteDelay * time.Duration(t.Index%8) / 8
	// Operators also write if the run ends during the wait.
	_ = agtask.Sleep(ctx, time.Duration(t.For)+delay)
	if err := f.rewriteObjects(); err != nil {
		return err
	}
	if f.awaitCalmStore(ctx, listLimit) {
		f.checkListed()
	}
	return nil
}

// awaitCalmStore waits until no trouble has affected the store for the given time. It
// returns false if the run ends first.
func (f *fleet) awaitCalmStore(ctx context.Context, length time.Duration) bool {
	for wait := length; wait > 0; wait = time.Until(f.ledger.storeCalmSince().Add(length)) {
		if err := agtask.Sleep(ctx, wait); err != nil {
			return false
		}
	}
	return true
}

// checkListed checks that the store lists all processes that no trouble affects.
func (f *fleet) checkListed() {
	for kind, machines := range map[string][]*machine{agregistry.KindBalancer: f.balancers, agregistry.KindAgent: f.agents} {
		for _, m := range machines {
			if _, listed := f.store.Objects().Get(kind, m.settings.IP.String(), 0); !listed && f.ledger.undisturbed(m.settings.IP) {
				f.ledger.recordViolation(PromiseListed, "%s is not listed in the restored store", m.name)
			}
		}
	}
}

// rewriteObjects makes the objects of operators in the store those that they wrote last.
func (f *fleet) rewriteObjects() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	desired, err := agplatform.DesiredObject(&f.desired)
	if err != nil {
		return err
	}
	wanted := []anvilglade.Object{desired}
	for i := range f.scenario.DataCentres {
		object := agplatform.EvacuationObject(dataCentreName(i))
		if _, evacuated := f.evacuated[dataCentreName(i)]; !evacuated {
			object.Data = nil
		}
		wanted = append(wanted, object)
	}
	for _, object := range wanted {
		stored, _ := f.store.Objects().Get(object.Kind, object.Name, 0)
		if bytes.Equal(stored.Data, object.Data) {
			continue
		}
		if err := f.putObject(object); err != nil {
			return err
		}
	}
	return nil
}

// checkApplied checks that all balancers serve the route of an address, which operators
// have just added. It waits until applyLimit has passed since the last trouble of the
// store, and skips balancers that a trouble affects.
func (f *fleet) checkApplied(ctx context.Context, dataCentre int, added, control anvilglade.Endpoint) error {
	prober, closeProber, err := f.newProber(ctx, dataCentre)
	if err != nil {
		return err
	}
	defer closeProber()
	if !f.awaitCalmStore(ctx, applyLimit) {
		return nil
	}
	for _, balancer := range f.balancers {
		ip := balancer.settings.IP
		served := prober.opens(ctx, balancer, added) || !prober.opens(ctx, balancer, control)
		if !served && f.ledger.undisturbed(ip) && f.ledger.storeCalmSince().Add(applyLimit).Before(time.Now()) && ctx.Err() == nil {
			f.ledger.recordViolation(PromiseApplied, "balancer %s does not serve the added route %s", ip, added)
		}
	}
	return nil
}

// newProber returns a caller without load. The function returned closes its socket.
func (f *fleet) newProber(ctx context.Context, dataCentre int) (*Caller, func(), error) {
	number := f.probers.Add(1)
	ip := anvilglade.IPv4{127, 30, byte(dataCentre + 1), byte(proberHost + number%50)}
	socket, closeSocket, err := agsocket.Listen(ctx, anvilglade.Endpoint{IP: ip, Port: f.basePort + portPacket}.AddrPort())
	if err != nil {
		return nil, nil, err
	}
	prober := &Caller{
		fleet: f, dataCentre: dataCentre, ip: ip, socket: socket, random: rand.New(rand.NewPCG(f.options.Seed, uint64(number))), inboxes: make(map[uint16]chan arrival),
	}
	return prober, closeSocket, f.group.Start("prober", prober.receive)
}

// opens reports whether one of maxProbes flows to an address is opened through a balancer.
func (c *Caller) opens(ctx context.Context, balancer *machine, address anvilglade.Endpoint) bool {
	c.demand = &demand{address: address}
	c.through = &anvilglade.Endpoint{IP: balancer.settings.IP, Port: balancer.settings.PacketPort}
	for range maxProbes {
		err := c.open(ctx)
		c.drop()
		if err == nil {
			return true
		}
	}
	return false
}
