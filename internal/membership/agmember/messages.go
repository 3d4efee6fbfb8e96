package agmember

import (
	"fmt"
	"hash"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
)

// Heartbeat is what an agent sends. The whole record goes only with the first
// heartbeats and after the balancer asked for it; RecordVersion stands for it
// otherwise, which keeps a heartbeat under 40 bytes.
type Heartbeat struct {
	Time          anvilglade.Timestamp
	Host          anvilglade.HostID
	RecordVersion anvilglade.Version
	Record        *anvilglade.HostRecord `cbor:",omitempty"`
	// AssignmentHash is the hash of the assignment that the agent has; 0 for none.
	AssignmentHash uint64
}

// HeartbeatAck is the balancer's answer.
type HeartbeatAck struct {
	Time           anvilglade.Timestamp
	Balancer       anvilglade.BalancerID
	AssignmentHash uint64
	// Assignment is set when the agent's hash differs.
	Assignment *anvilglade.HostAssignment `cbor:",omitempty"`
	// ReplyTo is set in a probe: an acknowledgement without a heartbeat, which
	// asks a silent host for a heartbeat to this address.
	ReplyTo netip.AddrPort
	// SendRecord asks for the whole record.
	SendRecord bool `cbor:",omitempty"`
	// Claimed is the sequence of the host that a balancer claims to be Suspect
	// or Dead.
	Claimed *anvilglade.Sequence `cbor:",omitempty"`
	// MaxJoinStamp is the highest join or accept stamp that the balancer knows.
	// It is set when the agent may have to draw a new one.
	MaxJoinStamp anvilglade.JoinStamp `cbor:",omitempty"`
}

func parseHeartbeat(payload []byte) (*Heartbeat, error) {
	heartbeat := new(Heartbeat)
	if err := decoding.Unmarshal(payload, heartbeat); err != nil {
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
	if err := decoding.Unmarshal(payload, ack); err != nil {
		return nil, fmt.Errorf("decode heartbeat acknowledgement: %w", err)
	}
	return ack, nil
}

// hashAssignment returns a hash over all fields of the assignment, never 0.
func hashAssignment(assignment *anvilglade.HostAssignment) (uint64, error) {
	digest := xxhash.New()
	if err := cbor.NewEncoder(hash.Hash(digest)).Encode(assignment); err != nil {
		return 0, fmt.Errorf("encode assignment: %w", err)
	}
	return max(1, digest.Sum64()), nil
}
