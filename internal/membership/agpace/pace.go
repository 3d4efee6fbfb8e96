// Package agpace derives the intervals of status messages from the number of
// their receivers.
//
// Every process tells its status to every other one of some kind. With a fixed
// interval the messages of a process grow with the fleet; a longer interval in a
// larger fleet keeps them bounded. What has changed is told at once and does not
// wait for the interval.
//
// # Usage
//
//	timer.Reset(agpace.Interval(statusInterval, len(receivers)))
package agpace

import "time"

// fullPace is the number of receivers up to which intervals are not stretched.
const fullPace = 40

// MessagesPerList returns of how many messages to each of the receivers one carries a list of
// them. In a large fleet the list is long and lists come from many senders; it
// only repairs what was missed.
func MessagesPerList(base uint64, receivers int) uint64 {
	if receivers <= fullPace {
		return base
	}
	return (base*uint64(receivers) + fullPace - 1) / fullPace
}

// Interval returns the interval between two messages to each of the receivers.
func Interval(base time.Duration, receivers int) time.Duration {
	if receivers <= fullPace {
		return base
	}
	return base * time.Duration(receivers) / fullPace
}
