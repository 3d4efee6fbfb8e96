// Package agpace derives the intervals of status messages from the number of
// their receivers.
//
// Each process sends its status to every other process of certain kinds. With a
// fixed interval the number of messages that a process sends per second would
// grow with the fleet; a longer interval in a larger fleet limits it. Changes are
// sent immediately and do not wait for the interval.
//
// # Usage
//
//	timer.Reset(agpace.Interval(statusInterval, len(receivers)))
package agpace

import "time"

// maxUnscaled is the number of receivers up to which intervals are not extended.
const maxUnscaled = 40

// MessagesPerList returns n, where one of every n messages to each receiver
// contains the list of receivers. Base is n for up to maxUnscaled receivers. In a
// large fleet n is higher, because the lists are long and arrive from many senders.
// A list only replaces updates that were lost.
func MessagesPerList(base uint64, receivers int) uint64 {
	if receivers <= maxUnscaled {
		return base
	}
	return (base*uint64(receivers) + maxUnscaled - 1) / maxUnscaled
}

// Interval returns the interval between two messages to each receiver. Base is the
// interval for up to maxUnscaled receivers.
func Interval(base time.Duration, receivers int) time.Duration {
	if receivers <= maxUnscaled {
		return base
	}
	return base * time.Duration(receivers) / maxUnscaled
}
