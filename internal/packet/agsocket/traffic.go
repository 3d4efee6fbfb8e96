package agsocket

// Counters of the traffic of a socket.

import (
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
)

// counter counts datagrams and their bytes. It is safe for concurrent use.
type counter struct {
	datagrams, bytes atomic.Uint64
}

func (c *counter) add(datagrams, bytes int) {
	c.datagrams.Add(uint64(datagrams))
	c.bytes.Add(uint64(bytes))
}

func (c *counter) traffic() anvilglade.Traffic {
	return anvilglade.Traffic{Datagrams: c.datagrams.Load(), Bytes: c.bytes.Load()}
}

// Sent returns the number of datagrams that were sent through the socket and their bytes.
func (s *Socket) Sent() anvilglade.Traffic {
	return s.sent.traffic()
}

// Received returns the number of datagrams that were read from the socket and their bytes.
func (s *Socket) Received() anvilglade.Traffic {
	return s.received.traffic()
}
