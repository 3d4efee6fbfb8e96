package agpacketagent

// The log of the estimates of the host. A line is written when the service time or the
// queue limit has changed by its ratio since the last line, at most once per interval.

import (
	"time"

	"github.com/anvilglade/anvilglade/internal/admission/agcapacity"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
)

const (
	// capacityLogInterval is the minimum time between two lines.
	capacityLogInterval = time.Second
	// serviceTimeRatio is the ratio of two service times from which a line is written.
	// The noise of heavy-tailed service times stays below it.
	serviceTimeRatio = 2
	// queueLimitRatio is the same for the queue limit, which changes by one request at
	// a time.
	queueLimitRatio = 1.25
)

// capacityLog holds the estimates of the last line.
type capacityLog struct {
	at          time.Time
	serviceTime time.Duration
	queueLimit  int
}

// update logs the estimates if one of them has changed by its ratio.
func (c *capacityLog) update(log *aglog.Logger, capacity *agcapacity.Estimator, now time.Time) {
	serviceTime, queueLimit := capacity.ServiceTime(now), capacity.QueueLimit()
	changed := differs(float64(serviceTime), float64(c.serviceTime), serviceTimeRatio) || differs(float64(queueLimit), float64(c.queueLimit), queueLimitRatio)
	if !changed || now.Sub(c.at) < capacityLogInterval {
		return
	}
	log.WithField("ServiceTime", serviceTime.String()).WithField("ServiceTimeBefore", c.serviceTime.String()).
		WithField("QueueLimit", queueLimit).WithField("QueueLimitBefore", c.queueLimit).
		WithField("Outstanding", capacity.Outstanding()).Info("Estimated capacity of the host has changed.")
	*c = capacityLog{at: now, serviceTime: serviceTime, queueLimit: queueLimit}
}

// differs reports whether the larger of two values is at least ratio times the smaller.
func differs(a, b, ratio float64) bool {
	return a != b && max(a, b) >= ratio*min(a, b)
}
