package agmember

import (
	"fmt"
	"hash"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
)

// Heartbeat is the periodic message of an agent to its balancers. It contains the
// full record only in the first round of heartbeats, after a change of the record
// and on request of a balancer. Otherwise RecordVersion identifies the record, which
// keeps a heartbeat under 40 bytes.
type Heartbeat struct {
	Time          anvilglade.Timestamp
	Host          anvilglade.HostID
	RecordVersion anvilglade.Version
	Record        *anvilglade.HostRecord `cbor:",omitempty"`
	// AssignmentHash is the hash of the agent's assignment; 0 for none.
	AssignmentHash uint64
}

// HeartbeatAck is the balancer's acknowledgement of a heartbeat, or a probe.
type HeartbeatAck struct {
	Time           anvilglade.Timestamp
	Balancer       anvilglade.BalancerID
	AssignmentHash uint64
	// Assignment is set if the agent's hash differs.
	Assignment *anvilglade.HostAssignment `cbor:",omitempty"`
	// ReplyTo is set in a probe: an acknowledgement that is sent without a
	// heartbeat and requests a heartbeat to this address from a host whose
	// heartbeats are missing.
	ReplyTo netip.AddrPort
	// SendRecord requests the full record.
	SendRecord bool `cbor:",omitempty"`
	// Claimed is the sequence of the host record that a balancer claims to be
	// Suspect or Dead.
	Claimed *anvilglade.Sequence `cbor:",omitempty"`
	// MaxJoinStamp is the highest join or accept stamp in the balancer's view. It
	// is set when the agent may need a new stamp.
	MaxJoinStamp anvilglade.JoinStamp `cbor:",omitempty"`
}

func parseHeartbeat(payload []byte) (*Heartbeat, error) {
	heartbeat := new(Heartbeat)
	if err := decMode.Unmarshal(payload, heartbeat); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if err := anvilglade.CheckName(string(heartbeat.Host)); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if heartbeat.Record != nil && heartbeat.Record.Host != heartbeat.Host {
		return nil, fmt.Errorf("decode heartbeat: record of host %s came from host %s", heartbeat.Record.Host, heartbeat.Host)
	}
	return heartbeat, nil
}

func parseHeartbeatAck(payload []byte) (*HeartbeatAck, error) {
	ack := new(HeartbeatAck)
	if err := decMode.Unmarshal(payload, ack); err != nil {
		return nil, fmt.Errorf("decode heartbeat acknowledgement: %w", err)
	}
	return ack, nil
}

// hashAssignment returns a hash over all fields of the assignment; it is never 0,
// which means no assignment.
func hashAssignment(assignment *anvilglade.HostAssignment) (uint64, error) {
	digest := xxhash.New()
	if err := cbor.NewEncoder(hash.Hash(digest)).Encode(assignment); err != nil {
		return 0, fmt.Errorf("encode assignment: %w", err)
	}
	return max(1, digest.Sum64()), nil
}
