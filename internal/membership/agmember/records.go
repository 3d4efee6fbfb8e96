package agmember

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
)

// Versions of host records are ordered by the incarnation, then by the sequence
// of the agent, then by the claims of balancers. Within a claim, Dead overrides
// Suspect and a refutation overrides both, so equal versions mean equal contents.
const (
	sequenceStep = 4096
	claimStep    = 4
	maxClaims    = sequenceStep/claimStep - 1
)

const (
	rankOwn = iota
	rankSuspect
	rankDead
	rankRefuted
)

// hostVersion returns the version of a host record.
func hostVersion(record *anvilglade.HostRecord) anvilglade.Version {
	rank := rankOwn
	switch {
	case record.Claim == 0:
	case record.State == anvilglade.HostSuspect:
		rank = rankSuspect
	case record.State == anvilglade.HostDead:
		rank = rankDead
	default:
		rank = rankRefuted
	}
	return anvilglade.Version(record.Incarnation) +
		anvilglade.Version(record.Sequence)*sequenceStep +
		anvilglade.Version(record.Claim)*claimStep + anvilglade.Version(rank)
}

// balancerVersion returns the version of a balancer record. The version of a
// claim that the balancer is lost lies between two of the balancer's own
// sequences.
func balancerVersion(record *anvilglade.BalancerRecord) anvilglade.Version {
	version := anvilglade.Version(record.Incarnation) + anvilglade.Version(record.Sequence)*2
	if !record.Living {
		version++
	}
	return version
}

func hostToRecord(host *anvilglade.HostRecord) (anvilglade.Record, error) {
	payload, err := cbor.Marshal(host)
	if err != nil {
		return anvilglade.Record{}, fmt.Errorf("encode host %s: %w", host.Host, err)
	}
	return anvilglade.Record{
		Kind: anvilglade.RecordHost, Name: string(host.Host), Version: hostVersion(host), Payload: payload,
	}, nil
}

func recordToHost(record anvilglade.Record) (anvilglade.HostRecord, error) {
	var host anvilglade.HostRecord
	if err := decMode.Unmarshal(record.Payload, &host); err != nil {
		return host, fmt.Errorf("decode host %s: %w", record.Name, err)
	}
	return host, nil
}

func balancerToRecord(balancer *anvilglade.BalancerRecord) (anvilglade.Record, error) {
	payload, err := cbor.Marshal(balancer)
	if err != nil {
		return anvilglade.Record{}, fmt.Errorf("encode balancer %s: %w", balancer.Balancer, err)
	}
	return anvilglade.Record{
		Kind:    anvilglade.RecordBalancer,
		Name:    string(balancer.Balancer),
		Version: balancerVersion(balancer),
		Payload: payload,
	}, nil
}

func recordToBalancer(record anvilglade.Record) (anvilglade.BalancerRecord, error) {
	var balancer anvilglade.BalancerRecord
	if err := decMode.Unmarshal(record.Payload, &balancer); err != nil {
		return balancer, fmt.Errorf("decode balancer %s: %w", record.Name, err)
	}
	return balancer, nil
}

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 14,
		MaxMapPairs:      64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
