package anvilglade

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// HostID names a backend server VM. It is unique in the fleet and has at most
// MaxNameLength bytes.
type HostID string

// BalancerID names a balancer process.
type BalancerID string

// DataCentreID names a data centre.
type DataCentreID string

// RegionID names a region, a set of data centres.
type RegionID string

// ServiceID names a service. It links a route to the pool that serves it.
type ServiceID string

// EditID identifies one edit of the configuration. The editing process generates
// it at random, so that a retry of the same edit can be recognised.
type EditID string

// ProcessID names a process in events and logs, such as "agent/dk1-h03".
type ProcessID string

// RequestID identifies a request that passes through an agent.
type RequestID string

// KeyID selects a key of the key ring.
type KeyID uint8

// ServiceNumber is the wire form of a ServiceID, its 64-bit xxHash.
type ServiceNumber uint64

// FlowKey identifies a flow. It is a hash of the service and the caller's address
// or, for QUIC, of the service and the first connection id that the caller chose.
type FlowKey uint64

// Revision is the store version of the configuration object. It never decreases.
type Revision uint64

// Version orders the contents of one replicated record. It never decreases.
type Version uint64

// Incarnation is the start time of a process in nanoseconds since the Unix
// epoch. A restarted process has a higher incarnation.
type Incarnation uint64

// Sequence orders the status updates that one incarnation publishes of itself.
type Sequence uint64

// JoinStamp is the hybrid-clock time (physical time, raised above all stamps that are
// known) at which a host joined or last began to accept. It orders hosts by age.
type JoinStamp uint64

// MaxNameLength is the maximum length of names in tables and settings, in bytes.
const MaxNameLength = 63

// Number returns the wire form of the service's name.
func (s ServiceID) Number() ServiceNumber {
	return ServiceNumber(xxhash.Sum64String(string(s)))
}

// Tag returns the upper 32 bits of the service number, which connection ids
// carry.
func (n ServiceNumber) Tag() uint32 {
	return uint32(n >> 32)
}

// Tag returns the 16 bits of the incarnation that connection ids carry. Their
// lowest bit counts units of 2^30 ns, about one second.
func (i Incarnation) Tag() uint16 {
	return uint16(i >> 30)
}

// String returns the key in hexadecimal.
func (k FlowKey) String() string {
	return strconv.FormatUint(uint64(k), 16)
}

// CheckName returns an error unless a name has 1 to MaxNameLength bytes of
// lower-case letters, digits, '-', '.' and '_', and starts with a letter or digit.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameLength {
		return fmt.Errorf("name %q has %d bytes, allowed are 1 to %d", name, len(name), MaxNameLength)
	}
	for i, r := range name {
		alnum := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		if alnum || i > 0 && (r == '-' || r == '.' || r == '_') {
			continue
		}
		return fmt.Errorf("name %q has the character %q at byte %d, allowed are a-z, 0-9 and, after the first, '-', '.', '_'", name, r, i)
	}
	return nil
}

// NewFlowKey returns the key of a plain UDP flow.
func NewFlowKey(service ServiceNumber, caller netip.AddrPort) FlowKey {
	var buf [26]byte
	addr := caller.Addr().As16()
	copy(buf[:16], addr[:])
	buf[16] = byte(caller.Port() >> 8)
	buf[17] = byte(caller.Port())
	for i := range 8 {
		buf[18+i] = byte(service >> (8 * i))
	}
	return FlowKey(xxhash.Sum64(buf[:]))
}

// NewFlowKeyQUIC returns the key of a QUIC flow whose packet carries a
// connection id that the caller chose.
func NewFlowKeyQUIC(service ServiceNumber, connectionID []byte) FlowKey {
	var buf [28]byte
	for i := range 8 {
		buf[i] = byte(service >> (8 * i))
	}
	n := copy(buf[8:], connectionID)
	return FlowKey(xxhash.Sum64(buf[:8+n]))
}
