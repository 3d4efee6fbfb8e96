package agemulator

// The ports of callers: new ones, and ones that were used for earlier flows.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

// maxUsedPorts is the number of ports that a caller keeps to use them again.
const maxUsedPorts = 6

// usedPort is a port of an earlier flow with the numbers of the packet that ended the flow.
type usedPort struct {
	port         uint16
	sequence     uint32
	acknowledged uint32
	flags        anvilglade.PacketFlags
}

// chance returns true with a probability. It draws no number for the probability 0, so that
// scenarios without such choices keep their sequence of random numbers.
func chance(random *rand.Rand, probability float64) bool {
	return probability > 0 && random.Float64() < probability
}

// takePort returns the port of the next flow: a new one, or one that was used before. The
// caller holds the mutex.
func (c *Caller) takePort() usedPort {
	if len(c.used) > 0 && chance(c.random, c.fleet.scenario.Ports.Again) {
		index := c.random.IntN(len(c.used))
		former := c.used[index]
		c.used = append(c.used[:index], c.used[index+1:]...)
		return former
	}
	c.port = max(c.port+1, firstPort)
	return usedPort{port: c.port}
}

// keepPort keeps the port of a flow that has ended. The caller holds the mutex.
func (c *Caller) keepPort(former usedPort) {
	if c.fleet.scenario.Ports.Again == 0 {
		return
	}
	if len(c.used) == maxUsedPorts {
		c.used = c.used[1:]
	}
	c.used = append(c.used, former)
}

// sendLatePackets sends late packets on the flow that was just opened, as Ports of the
// scenario says.
func (c *Caller) sendLatePackets() {
	flow := c.flow
	if !chance(c.random, c.fleet.scenario.Ports.Late) {
		return
	}
	c.send(flow, anvilglade.FlagSYN, flow.start, 1, nil)
	if former := flow.former; former.flags != 0 {
		c.send(flow, former.flags, former.sequence, former.acknowledged, nil)
	}
}

// openAhead opens the flow of the next request and pauses, as Ports of the scenario says.
func (c *Caller) openAhead(ctx context.Context) {
	ports := &c.fleet.scenario.Ports
	if c.flow != nil && c.flow.requests < c.demand.perFlow || !chance(c.random, ports.Idle) {
		return
	}
	c.close()
	if err := c.open(ctx); err != nil {
		c.drop()
		return
	}
	// The acknowledgement opens the flow at its host.
	c.send(c.flow, anvilglade.FlagACK, c.flow.sequence, c.flow.host+1, nil)
	c.sendLatePackets()
	// The loop of requests handles a cancelled context.
	_ = agtask.Sleep(ctx, time.Duration(ports.IdleFor))
}
