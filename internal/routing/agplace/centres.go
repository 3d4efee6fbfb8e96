package agplace

// Which data centres may send new flows of a service to which others. The mean waits of
// all data centres are compared, so that balancers with the same statuses agree: a data
// centre above the mean may send, one below it may receive, and none does both.

import (
	"math"
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
)

const (
	// centreInterval is the time between two updates of the mean waits, so that their
	// cost does not grow with the number of new flows.
	centreInterval = 20 * time.Millisecond
	// calmShare is the share of the attempt budget up to which the mean wait leaves 99
	// percent of the requests in time: waits are exponentially distributed, and their
	// quantile of 0.99 is 4.6 times the mean.
	calmShare = 0.2
	// stopShare is the share of both bounds on the mean wait below which a data centre
	// stops sending. It is below 1 to prevent oscillation.
	stopShare = 0.5
	// smoothing is the time over which the mean wait of a data centre is averaged. The
	// queues of few hosts vary by more than the margin within one interval of reports.
	smoothing = 500 * time.Millisecond
	// reversalInterval is the minimum time between receiving flows and sending some away,
	// or the other way round. By then all balancers have newer statuses, although some were
	// lost or late.
	reversalInterval = time.Second
)

// CentreHost is a host as it enters the mean wait of its data centre.
type CentreHost struct {
	DataCentre anvilglade.DataCentreID
	Slots      anvilglade.Slots
	Flows      int
	Load       Load
}

// centre is the state of one data centre.
type centre struct {
	id anvilglade.DataCentreID
	// wait is the sum of the waits of its hosts in seconds, weighted by their capacities,
	// capacity the sum of their capacities in requests per second.
	wait     float64
	capacity float64
	// mean is the smoothed mean wait in seconds; known is set if it has a value.
	mean  float64
	known bool
	// sends is set while it may send flows away, receivedAt the last time at which it
	// could receive some, sentAt the last time at which it could send some.
	sends      bool
	sentAt     time.Time
	receivedAt time.Time
}

// Centres compares the data centres of one service. The zero value is ready for use.
type Centres struct {
	centres   []centre
	updatedAt time.Time
	// mean and serviceTime are the means over all hosts, in seconds.
	mean        float64
	serviceTime float64
	// flowRate is the mean rate of an open flow in requests per second.
	flowRate float64
	// sending is set while the local data centre may send flows away.
	sending bool
}

// Due reports whether an update is due.
func (c *Centres) Due(now time.Time) bool {
	return c.updatedAt.IsZero() || now.Sub(c.updatedAt) >= centreInterval
}

// FlowRate returns the rate of requests per second that a new flow is expected to bring.
func (c *Centres) FlowRate() float64 {
	return c.flowRate
}

// Update computes the means from the usable hosts of the service that report a service
// time. Local is the data centre of this balancer, pathCost the cost of the cheapest path
// to another one, budget the part of the latency target for one attempt.
func (c *Centres) Update(hosts []CentreHost, local anvilglade.DataCentreID, pathCost, budget time.Duration, now time.Time) {
	weight := 1 - math.Exp(-now.Sub(c.updatedAt).Seconds()/smoothing.Seconds())
	c.updatedAt = now
	c.updateFlowRate(hosts)
	c.sum(hosts, budget.Seconds())
	wait, capacity := 0.0, 0.0
	for i := range c.centres {
		c.centres[i].smooth(weight)
		wait += c.centres[i].mean * c.centres[i].capacity
		capacity += c.centres[i].capacity
	}
	c.mean = wait / max(capacity, 1)
	c.updateRoles(pathCost.Seconds(), budget.Seconds(), now)
	own := c.find(local)
	// Without a usable local host all flows are sent away.
	c.sending = own == nil || own.sends
}

// updateFlowRate sets the rate of a new flow to the mean of all open flows.
func (c *Centres) updateFlowRate(hosts []CentreHost) {
	rate, flows := 0.0, 0.0
	for i := range hosts {
		rate += hosts[i].Load.RequestRate
		flows += float64(hosts[i].Flows)
	}
	c.flowRate = rate / max(flows, 1)
}

// sum adds up the waits of the hosts by data centre and removes the data centres without
// hosts. The wait of a host counts up to the budget: one overloaded data centre would
// otherwise raise the mean above others that are overloaded too.
func (c *Centres) sum(hosts []CentreHost, budget float64) {
	for i := range c.centres {
		c.centres[i].wait, c.centres[i].capacity = 0, 0
	}
	slots, capacity := 0.0, 0.0
	for i := range hosts {
		host := &hosts[i]
		served := slotCount(host.Slots) / host.Load.ServiceTime.Seconds()
		sum := c.of(host.DataCentre)
		sum.wait += min(host.Load.wait(host.Slots, c.flowRate), budget) * served
		sum.capacity += served
		slots, capacity = slots+slotCount(host.Slots), capacity+served
	}
	c.serviceTime = slots / max(capacity, 1)
	c.centres = slices.DeleteFunc(c.centres, func(one centre) bool { return one.capacity == 0 })
}

// smooth advances the smoothed mean wait.
func (c *centre) smooth(weight float64) {
	current := c.wait / c.capacity
	if !c.known {
		c.mean, c.known = current, true
		return
	}
	c.mean += weight * (current - c.mean)
}

// updateRoles sets which data centres may send flows away: their hosts may not serve all
// requests in time, and others are ahead of them by the cost of the path and the wait at
// which agents pass flows on, one service time.
func (c *Centres) updateRoles(pathCost, budget float64, now time.Time) {
	anySends := false
	for i := range c.centres {
		one := &c.centres[i]
		calm, margin := calmShare*budget, pathCost+c.serviceTime
		if one.sends {
			calm, margin = stopShare*calm, stopShare*margin
		}
		above := one.mean > calm && one.mean > c.mean+margin
		one.sends = above && now.Sub(one.receivedAt) >= reversalInterval
		if one.sends {
			one.sentAt, anySends = now, true
		}
	}
	for i := range c.centres {
		if one := &c.centres[i]; anySends && c.receives(one) {
			one.receivedAt = now
		}
	}
}

// receives reports whether a data centre may receive flows from those that send some.
func (c *Centres) receives(one *centre) bool {
	return one.mean < c.mean && c.updatedAt.Sub(one.sentAt) >= reversalInterval
}

// Receives reports whether new flows of the local data centre may go to another one.
func (c *Centres) Receives(id anvilglade.DataCentreID) bool {
	one := c.find(id)
	return c.sending && one != nil && c.receives(one)
}

// find returns the state of a data centre, nil if there is none.
func (c *Centres) find(id anvilglade.DataCentreID) *centre {
	for i := range c.centres {
		if c.centres[i].id == id {
			return &c.centres[i]
		}
	}
	return nil
}

// of returns the state of a data centre, which it creates if there is none.
func (c *Centres) of(id anvilglade.DataCentreID) *centre {
	if one := c.find(id); one != nil {
		return one
	}
	c.centres = append(c.centres, centre{id: id})
	return &c.centres[len(c.centres)-1]
}
