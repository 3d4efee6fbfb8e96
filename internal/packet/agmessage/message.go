// Package agmessage encodes the datagrams between balancers and agents of
// packet services.
//
// The first byte of each datagram is its kind. Kinds that are sent while packets
// are forwarded have a fixed binary header and are encoded without allocation;
// the two statuses are CBOR. Agents receive all kinds on their packet port,
// balancers on their inner port. The receiver drops a datagram that it cannot
// decode.
//
// # Usage
//
//	buffer = agmessage.AppendForward(buffer[:0], &forward, packet)
//	socket.WriteTo(buffer, agent)
//
//	var forward agmessage.Forward
//	packet, err := agmessage.ParseForward(datagram, &forward)
package agmessage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsequence"
)

// Kind is the first byte of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	// KindForward carries a caller's packet to an agent.
	KindForward Kind = iota + 1
	// KindOwner reports to a balancer that the sender's host holds a flow or
	// offers to.
	KindOwner
	// KindReturned carries a packet back to a balancer because the host of the
	// agent that the balancer chose does not hold its flow.
	KindReturned
	// KindExhausted carries a packet back to a balancer because none of the
	// candidates accepted it.
	KindExhausted
	// KindFlowQuery queries an agent for those of several flows that its host holds.
	KindFlowQuery
	// KindFlowReply answers a KindFlowQuery.
	KindFlowReply
	// KindFlowAbsent reports to a balancer that a host has returned a packet with
	// which the balancer searched for the holder of its flow.
	KindFlowAbsent
	// KindAgentStatus and KindBalancerStatus carry an AgentStatus and a
	// BalancerStatus.
	KindAgentStatus
	KindBalancerStatus
	// KindNumberedQuery is a KindFlowQuery with a number of each flow. It must be sent
	// only to agents whose status has TakesNumbers.
	KindNumberedQuery
)

// ProbeQueryID is the query id of a KindFlowQuery without flows. The agent's reply
// proves that packets pass between the two processes in both directions.
const ProbeQueryID = 0

// MaxCandidates is the largest number of candidates in a Forward.
const MaxCandidates = 255

// Forward is the header that a balancer or agent adds to a caller's packet for an
// agent.
type Forward struct {
	Service anvilglade.ServiceNumber
	// Origin is the balancer that receives the replies and reports on the flow.
	Origin anvilglade.IPv4
	// ToHolder is set if the balancer has a record that the receiver's host holds
	// the flow. There are no candidates then.
	ToHolder bool
	// OutsideRoute is set if the flow's route no longer has the receiver's
	// service. The host may still hold the flow from before the route changed.
	OutsideRoute bool
	// Candidates are the agents to try after the receiver, in order.
	Candidates []anvilglade.IPv4
	// Class is the class of the flow's requests. It is encoded only if it has a latency
	// target, and must be sent only to agents whose status has TakesClass.
	Class anvilglade.RequestClass
}

// Owner reports that a host holds a flow or has offered to hold it.
type Owner struct {
	Flow anvilglade.Flow
	// Established is false while the host has only answered the opening
	// packet. Sequence is then the sequence number of that answer.
	Established bool
	Sequence    uint32
	// CallerStart is the sequence number of the packet that opened an established flow, if
	// the agent knows it. Balancers of earlier builds ignore it.
	CallerStart agsequence.Number
	// Flows and ActiveRequests are the host's load as in an AgentStatus.
	Flows          uint16
	ActiveRequests uint16
}

// SearchedFlow is a flow whose holder a balancer searches for. Acknowledged is the
// acknowledgement number of the caller's packet that started the search, 0 if unknown.
// Callers use a port again, so an agent may have a record of an earlier flow with the same
// ends; the number shows which of them is searched for.
type SearchedFlow struct {
	Flow         anvilglade.Flow
	Acknowledged uint32
}

// FlowState is an agent's answer on whether its host holds a flow.
type FlowState uint8

// States of a flow. FlowUnknown means that only the host itself can decide
// whether it holds the flow: the agent may not have received the packet that opened
// it.
const (
	FlowAbsent FlowState = iota
	FlowHeld
	FlowUnknown
)

// Sizes in bytes of the binary kinds and their parts, and bits of their flags.
const (
	forwardHeaderSize = 1 + 1 + 1 + 8 + 4
	ownerSize         = 1 + 12 + 1 + 4 + 2 + 2
	flowAbsentSize    = 1 + 12
	queryHeaderSize   = 1 + 4
	flowKeySize       = 12
	numberSize        = 4
	flagHeld          = 1
	flagForeign       = 2
	flagClass         = 4
	classSize         = 1 + 1 + 2 + 2 // priority, flags, target, timeout
	flagRepeatable    = 1
	flagEstablished   = 1
	flagCallerStart   = 2
)

var errTooShort = errors.New("datagram is too short")

// KindOf returns the kind of a datagram, 0 if it is empty.
func KindOf(datagram []byte) Kind {
	if len(datagram) == 0 {
		return 0
	}
	return Kind(datagram[0])
}

// AppendForward appends a Forward and the packet that it carries. Candidates
// above MaxCandidates are left out.
func AppendForward(dst []byte, forward *Forward, packet []byte) []byte {
	var flags byte
	if forward.ToHolder {
		flags |= flagHeld
	}
	if forward.OutsideRoute {
		flags |= flagForeign
	}
	if forward.Class.HasTarget() {
		flags |= flagClass
	}
	count := min(len(forward.Candidates), MaxCandidates)
	dst = append(dst, byte(KindForward), flags, byte(count))
	dst = binary.BigEndian.AppendUint64(dst, uint64(forward.Service))
	dst = append(dst, forward.Origin[:]...)
	for _, candidate := range forward.Candidates[:count] {
		dst = append(dst, candidate[:]...)
	}
	if forward.Class.HasTarget() {
		dst = appendClass(dst, forward.Class)
	}
	return append(dst, packet...)
}

// appendClass appends the class of a flow's requests. Durations are encoded in whole
// milliseconds; those above the range of the field are encoded as its largest value.
func appendClass(dst []byte, class anvilglade.RequestClass) []byte {
	var flags byte
	if class.Repeatable {
		flags |= flagRepeatable
	}
	dst = append(dst, byte(class.Priority), flags)
	dst = binary.BigEndian.AppendUint16(dst, clampMilliseconds(class.Target))
	return binary.BigEndian.AppendUint16(dst, clampMilliseconds(class.Timeout))
}

// clampMilliseconds rounds up, so that a positive duration does not become 0, which stands
// for none.
func clampMilliseconds(duration time.Duration) uint16 {
	rounded := (duration + time.Millisecond - 1).Milliseconds()
	return uint16(min(max(rounded, 0), math.MaxUint16))
}

// parseClass decodes the class of a flow's requests at the start of data.
func parseClass(data []byte) (anvilglade.RequestClass, error) {
	if len(data) < classSize {
		return anvilglade.RequestClass{}, fmt.Errorf("class of a forwarded packet: %w", errTooShort)
	}
	if data[1]&^flagRepeatable != 0 {
		return anvilglade.RequestClass{}, fmt.Errorf("class of a forwarded packet has unknown flags %#x", data[1])
	}
	class := anvilglade.RequestClass{
		Priority:   anvilglade.Priority(data[0]),
		Repeatable: data[1]&flagRepeatable != 0,
		Target:     time.Duration(binary.BigEndian.Uint16(data[2:])) * time.Millisecond,
		Timeout:    time.Duration(binary.BigEndian.Uint16(data[4:])) * time.Millisecond,
	}
	if !class.HasTarget() {
		return anvilglade.RequestClass{}, errors.New("class of a forwarded packet has no latency target")
	}
	return class, nil
}

// ParseForward decodes a Forward and returns the packet, which shares memory
// with the datagram. It reuses forward.Candidates. It returns an error if the
// datagram is too short or its class is invalid.
func ParseForward(datagram []byte, forward *Forward) ([]byte, error) {
	if len(datagram) < forwardHeaderSize {
		return nil, fmt.Errorf("forwarded packet: %w", errTooShort)
	}
	count := int(datagram[2])
	end := forwardHeaderSize + count*len(anvilglade.IPv4{})
	if len(datagram) < end {
		return nil, fmt.Errorf("forwarded packet with %d candidates: %w", count, errTooShort)
	}
	forward.ToHolder = datagram[1]&flagHeld != 0
	forward.OutsideRoute = datagram[1]&flagForeign != 0
	forward.Service = anvilglade.ServiceNumber(binary.BigEndian.Uint64(datagram[3:11]))
	forward.Origin = anvilglade.IPv4(datagram[11:15])
	forward.Candidates = forward.Candidates[:0]
	for at := forwardHeaderSize; at < end; at += len(anvilglade.IPv4{}) {
		forward.Candidates = append(forward.Candidates, anvilglade.IPv4(datagram[at:at+4]))
	}
	forward.Class = anvilglade.RequestClass{}
	if datagram[1]&flagClass != 0 {
		class, err := parseClass(datagram[end:])
		if err != nil {
			return nil, err
		}
		forward.Class = class
		end += classSize
	}
	return datagram[end:], nil
}

// AppendOwner appends an Owner.
func AppendOwner(dst []byte, owner *Owner) []byte {
	dst = append(dst, byte(KindOwner))
	dst = appendFlow(dst, owner.Flow)
	var flags byte
	sequence := owner.Sequence
	if owner.Established {
		flags |= flagEstablished
		if start, known := owner.CallerStart.Get(); known {
			flags, sequence = flags|flagCallerStart, start
		}
	}
	dst = append(dst, flags)
	dst = binary.BigEndian.AppendUint32(dst, sequence)
	dst = binary.BigEndian.AppendUint16(dst, owner.Flows)
	return binary.BigEndian.AppendUint16(dst, owner.ActiveRequests)
}

// ParseOwner decodes an Owner. It returns an error if the datagram has another
// size.
func ParseOwner(datagram []byte) (Owner, error) {
	if len(datagram) != ownerSize {
		return Owner{}, fmt.Errorf("owner message has %d bytes, want %d", len(datagram), ownerSize)
	}
	owner := Owner{
		Flow:           flowAt(datagram[1:]),
		Established:    datagram[13]&flagEstablished != 0,
		Flows:          binary.BigEndian.Uint16(datagram[18:]),
		ActiveRequests: binary.BigEndian.Uint16(datagram[20:]),
	}
	sequence := binary.BigEndian.Uint32(datagram[14:])
	if owner.Established && datagram[13]&flagCallerStart != 0 {
		owner.CallerStart = agsequence.Of(sequence)
	} else {
		owner.Sequence = sequence
	}
	return owner, nil
}

// AppendFlowAbsent appends a datagram of KindFlowAbsent.
func AppendFlowAbsent(dst []byte, flow anvilglade.Flow) []byte {
	return appendFlow(append(dst, byte(KindFlowAbsent)), flow)
}

// ParseFlowAbsent decodes the flow in a datagram of KindFlowAbsent. It returns
// an error if the datagram has another size.
func ParseFlowAbsent(datagram []byte) (anvilglade.Flow, error) {
	if len(datagram) != flowAbsentSize {
		return anvilglade.Flow{}, fmt.Errorf("absent-flow message has %d bytes, want %d", len(datagram), flowAbsentSize)
	}
	return flowAt(datagram[1:]), nil
}

// AppendFlowQuery appends a query for flows, with their numbers if numbered is set. The
// reply carries the same query id.
func AppendFlowQuery(dst []byte, queryID uint32, flows []SearchedFlow, numbered bool) []byte {
	kind := KindFlowQuery
	if numbered {
		kind = KindNumberedQuery
	}
	dst = binary.BigEndian.AppendUint32(append(dst, byte(kind)), queryID)
	for _, searched := range flows {
		dst = appendFlow(dst, searched.Flow)
		if numbered {
			dst = binary.BigEndian.AppendUint32(dst, searched.Acknowledged)
		}
	}
	return dst
}

// ParseFlowQuery decodes a query of either kind and appends its flows to dst. It returns
// the query id and the extended slice, or an error if the size of the datagram does not
// fit a whole number of flows.
func ParseFlowQuery(datagram []byte, dst []SearchedFlow) (uint32, []SearchedFlow, error) {
	size := flowKeySize
	if KindOf(datagram) == KindNumberedQuery {
		size += numberSize
	}
	if len(datagram) < queryHeaderSize || (len(datagram)-queryHeaderSize)%size != 0 {
		return 0, dst, fmt.Errorf("flow query has %d bytes: %w", len(datagram), errTooShort)
	}
	for at := queryHeaderSize; at < len(datagram); at += size {
		searched := SearchedFlow{Flow: flowAt(datagram[at:])}
		if size > flowKeySize {
			searched.Acknowledged = binary.BigEndian.Uint32(datagram[at+flowKeySize:])
		}
		dst = append(dst, searched)
	}
	return binary.BigEndian.Uint32(datagram[1:]), dst, nil
}

// AppendFlowReply appends the reply to a query, with a state for each of its
// flows in their order.
func AppendFlowReply(dst []byte, queryID uint32, states []FlowState) []byte {
	dst = binary.BigEndian.AppendUint32(append(dst, byte(KindFlowReply)), queryID)
	for _, state := range states {
		dst = append(dst, byte(state))
	}
	return dst
}

// ParseFlowReply decodes a reply and appends its states to dst. It returns the
// query id and the extended slice, or an error if the datagram is too short or
// has an unknown state.
func ParseFlowReply(datagram []byte, dst []FlowState) (uint32, []FlowState, error) {
	if len(datagram) < queryHeaderSize {
		return 0, dst, fmt.Errorf("flow reply: %w", errTooShort)
	}
	for _, state := range datagram[queryHeaderSize:] {
		if state > byte(FlowUnknown) {
			return 0, dst, fmt.Errorf("flow reply has the unknown state %d", state)
		}
		dst = append(dst, FlowState(state))
	}
	return binary.BigEndian.Uint32(datagram[1:]), dst, nil
}

// AppendPacket appends a datagram of KindReturned or KindExhausted.
func AppendPacket(dst []byte, kind Kind, packet []byte) []byte {
	return append(append(dst, byte(kind)), packet...)
}

// Packet returns the packet in a datagram of KindReturned or KindExhausted, which
// shares memory with the datagram.
func Packet(datagram []byte) []byte {
	return datagram[1:]
}

// AppendAgentStatus appends an AgentStatus.
func AppendAgentStatus(dst []byte, status *anvilglade.AgentStatus) ([]byte, error) {
	return appendCBOR(dst, KindAgentStatus, status)
}

// ParseAgentStatus decodes an AgentStatus.
func ParseAgentStatus(datagram []byte) (anvilglade.AgentStatus, error) {
	var status anvilglade.AgentStatus
	return status, parseCBOR(datagram, &status)
}

// AppendBalancerStatus appends a BalancerStatus.
func AppendBalancerStatus(dst []byte, status *anvilglade.BalancerStatus) ([]byte, error) {
	return appendCBOR(dst, KindBalancerStatus, status)
}

// ParseBalancerStatus decodes a BalancerStatus.
func ParseBalancerStatus(datagram []byte) (anvilglade.BalancerStatus, error) {
	var status anvilglade.BalancerStatus
	return status, parseCBOR(datagram, &status)
}

func appendCBOR(dst []byte, kind Kind, value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", value, err)
	}
	return append(append(dst, byte(kind)), data...), nil
}

func parseCBOR(datagram []byte, value any) error {
	if len(datagram) < 1 {
		return errTooShort
	}
	if err := cbor.Unmarshal(datagram[1:], value); err != nil {
		return fmt.Errorf("decode %T: %w", value, err)
	}
	return nil
}

func appendFlow(dst []byte, flow anvilglade.Flow) []byte {
	return appendEndpoint(appendEndpoint(dst, flow.Caller), flow.Service)
}

func flowAt(data []byte) anvilglade.Flow {
	return anvilglade.Flow{Caller: endpoint(data), Service: endpoint(data[6:])}
}

func appendEndpoint(dst []byte, e anvilglade.Endpoint) []byte {
	return binary.BigEndian.AppendUint16(append(dst, e.IP[:]...), e.Port)
}

func endpoint(data []byte) anvilglade.Endpoint {
	return anvilglade.Endpoint{IP: anvilglade.IPv4(data[:4]), Port: binary.BigEndian.Uint16(data[4:])}
}
