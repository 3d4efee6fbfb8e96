package agemulator

// Callers open flows, send one request at a time and retry in the same way as
// the platform's clients.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

const (
	// openTimeout is the time limit for opening a flow. Copies of the opening
	// packet are sent at openResendTimes.
	openTimeout = 1400 * time.Millisecond
	// firstResendDelay is the time before a request is first sent again. The delay
	// doubles with each copy, up to maxResendDelay.
	firstResendDelay = 200 * time.Millisecond
	maxResendDelay   = 1600 * time.Millisecond
	// maxRetries is the number of attempts at a request after the first one.
	maxRetries = 2
	// inboxSize is the capacity of the queue of received packets of a flow.
	inboxSize = 64
	firstPort = 1024
	// resetWindow is the largest distance of a reset's sequence number from the latest
	// acknowledgement number with which a caller accepts it on an open flow, in bytes.
	resetWindow = 76_800
)

var openResendTimes = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

var (
	errReset   = errors.New("flow was reset")
	errTimeout = errors.New("no answer in time")
	errNotRun  = errors.New("host did not run the request")
)

// Caller is one emulated caller.
type Caller struct {
	fleet      *fleet
	dataCentre int
	ip         anvilglade.IPv4
	socket     *agsocket.Socket
	demand     *demand
	random     *rand.Rand
	// through is the balancer to which all packets are sent; nil stands for the router's
	// choice.
	through *anvilglade.Endpoint

	mu      sync.Mutex
	port    uint16
	inboxes map[uint16]chan arrival
	flow    *callerFlow
	// used lists the ports of earlier flows, at most maxUsedPorts.
	used []usedPort
}

// arrival is a packet that a caller received, with its payload and the address of
// the process that sent it.
type arrival struct {
	packet anvilglade.Packet
	data   []byte
	from   anvilglade.IPv4
}

// callerFlow is the caller's state of an open flow.
type callerFlow struct {
	id       anvilglade.Flow
	inbox    chan arrival
	sequence uint32
	host     uint32
	// start is the sequence number of the opening packet.
	start    uint32
	open     bool
	requests int
	// former is the former flow from the port.
	former usedPort
}

// accepts reports whether the caller accepts a reset with a sequence number.
func (f *callerFlow) accepts(sequence uint32) bool {
	distance := min(sequence-f.host-1, f.host+1-sequence)
	return !f.open || distance <= resetWindow
}

// receive dispatches received packets to the inboxes of their flows.
func (c *Caller) receive(context.Context) error {
	reader := c.socket.NewReader(readBatch, maxDatagram)
	for {
		batch, err := reader.Read()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			continue
		}
		for i := range batch {
			var packet anvilglade.Packet
			data := batch[i].Data
			if err := (agplatform.Codec{}).Parse(data, &packet); err != nil || !packet.Flags.Has(anvilglade.FlagRST) && !agplatform.CheckPacket(data, packetKey) {
				c.fleet.ledger.recordViolation(PromiseUnaltered, "caller %s got %x", c.ip, data)
				continue
			}
			c.mu.Lock()
			inbox := c.inboxes[packet.Destination.Port]
			c.mu.Unlock()
			if inbox == nil {
				continue
			}
			select {
			case inbox <- arrival{packet: packet, data: append([]byte(nil), data[len(data)-packet.DataLength:]...), from: batch[i].From.Addr().As4()}:
			default:
				// The inbox is full; the packet counts as lost in the network.
			}
		}
	}
}

// run sends requests until the context ends.
func (c *Caller) run(ctx context.Context) error {
	load := &c.fleet.scenario.Load
	for ctx.Err() == nil {
		c.openAhead(ctx)
		c.request(ctx)
		pause := time.Duration(float64(load.Pause) * c.random.ExpFloat64() / float64(c.fleet.pauseDivisor.Load()))
		// The loop condition handles a cancelled context.
		_ = agtask.Sleep(ctx, pause)
	}
	c.close()
	return nil
}

// request makes one request with up to maxRetries retries and records its outcome.
func (c *Caller) request(ctx context.Context) {
	started := time.Now()
	limit := started.Add(c.demand.timeout)
	work := time.Duration(float64(c.demand.service.Work) * (0.5 + c.random.Float64()))
	req := request{
		id: c.random.Uint64(), workMicros: uint32(work.Microseconds()),
		repeatable: c.random.Float64() >= c.demand.unsafe, service: c.demand.service.Name.Number(),
	}
	result := outcomeFailed
	for try := 0; try <= maxRetries && time.Now().Before(limit) && ctx.Err() == nil; try++ {
		mayRepeat, err := c.try(ctx, &req, limit)
		if err == nil {
			result = outcomeAnswered
			break
		}
		c.drop()
		if errors.Is(err, errNotRun) || errors.Is(err, errReset) && mayRepeat {
			result = outcomeRefused
		} else {
			result = outcomeFailed
		}
		if !mayRepeat {
			break
		}
	}
	if ctx.Err() == nil {
		c.fleet.ledger.recordOutcome(c.demand, started, result)
	}
}

// try makes one attempt at a request. On failure it reports whether a retry is
// allowed: the request cannot have run, or its flow was reset and the request is
// repeatable.
func (c *Caller) try(ctx context.Context, req *request, limit time.Time) (bool, error) {
	if c.flow == nil || c.flow.requests >= c.demand.perFlow {
		c.close()
		if err := c.open(ctx); err != nil {
			return true, err
		}
		c.sendLatePackets()
	}
	c.flow.requests++
	body := req.encode()
	repeat := firstResendDelay
	for time.Now().Before(limit) {
		c.send(c.flow, anvilglade.FlagACK, c.flow.sequence, c.flow.host+1, body)
		got, err := c.await(ctx, c.flow, min(repeat, time.Until(limit)), func(a *arrival) bool { return len(a.data) > 0 })
		if errors.Is(err, errReset) {
			return req.repeatable, err
		}
		if err != nil {
			repeat = min(2*repeat, maxResendDelay)
			continue
		}
		result, ok := decodeAnswer(got.data)
		if !ok || !c.demand.allows(result.service) {
			c.fleet.ledger.recordViolation(PromiseOwnAnswer, "request %x got %x", req.id, got.data)
			return false, errTimeout
		}
		if result.id != req.id {
			// A repeated answer to an earlier request.
			continue
		}
		c.flow.sequence += uint32(len(body))
		if !result.ran {
			return true, errNotRun
		}
		return false, nil
	}
	return false, errTimeout
}

// open opens a flow from a new port or from one that was used before.
func (c *Caller) open(ctx context.Context) error {
	c.mu.Lock()
	former := c.takePort()
	flow := &callerFlow{
		id:    anvilglade.Flow{Caller: anvilglade.Endpoint{IP: c.ip, Port: former.port}, Service: c.demand.address},
		inbox: make(chan arrival, inboxSize), sequence: c.random.Uint32(), former: former,
	}
	flow.start = flow.sequence
	c.inboxes[former.port] = flow.inbox
	c.flow = flow
	c.mu.Unlock()
	started := time.Now()
	for copies := 0; copies <= len(openResendTimes); copies++ {
		c.send(flow, anvilglade.FlagSYN, flow.sequence, uint32(copies), nil)
		end := openTimeout
		if copies < len(openResendTimes) {
			end = openResendTimes[copies]
		}
		got, err := c.await(ctx, flow, end-time.Since(started), func(a *arrival) bool {
			return a.packet.Flags.Has(anvilglade.FlagSYN) && a.packet.Acknowledged == flow.start+1
		})
		if errors.Is(err, errReset) || ctx.Err() != nil {
			return errReset
		}
		if err == nil {
			flow.sequence++
			flow.host, flow.open = got.packet.Sequence, true
			return nil
		}
	}
	return errTimeout
}

// await waits up to limit for a packet of the flow that match accepts. It returns
// errReset if the flow is reset first, and errTimeout if no packet arrives.
func (c *Caller) await(ctx context.Context, flow *callerFlow, limit time.Duration, match func(*arrival) bool) (*arrival, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case got := <-flow.inbox:
			if got.packet.Flags.Has(anvilglade.FlagRST) {
				if !flow.accepts(got.packet.Sequence) {
					continue
				}
				c.fleet.checkReset(flow, got.from)
				return nil, errReset
			}
			if match(&got) {
				return &got, nil
			}
		case <-timer.C:
			return nil, errTimeout
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *Caller) send(flow *callerFlow, flags anvilglade.PacketFlags, sequence, acknowledged uint32, data []byte) {
	packet := anvilglade.Packet{Source: flow.id.Caller, Destination: flow.id.Service, Flags: flags, Sequence: sequence, Acknowledged: acknowledged}
	datagram := agplatform.AppendPacket(nil, &packet, data, packetKey)
	if c.through == nil {
		c.fleet.router.forward(c.dataCentre, flow.id, datagram)
		return
	}
	// A write error counts as a lost datagram.
	_ = c.socket.WriteTo(datagram, c.through.AddrPort())
}

// close ends the flow by a FIN or, as Ports of the scenario says, in another way.
func (c *Caller) close() {
	if c.flow == nil {
		return
	}
	flow, ports := c.flow, &c.fleet.scenario.Ports
	flags := anvilglade.FlagACK | anvilglade.FlagFIN
	if chance(c.random, ports.Reset) {
		flags = anvilglade.FlagACK | anvilglade.FlagRST
	}
	if !chance(c.random, ports.Left) {
		c.send(flow, flags, flow.sequence, flow.host+1, nil)
	}
	flow.former = usedPort{port: flow.id.Caller.Port, sequence: flow.sequence, acknowledged: flow.host + 1, flags: flags}
	c.drop()
}

// drop removes the flow without sending a packet.
func (c *Caller) drop() {
	if c.flow == nil {
		return
	}
	c.mu.Lock()
	delete(c.inboxes, c.flow.id.Caller.Port)
	c.keepPort(c.flow.former)
	c.flow = nil
	c.mu.Unlock()
}
