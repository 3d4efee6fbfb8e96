package agserve

// Selection of the host to which a request is passed: of two random hosts the one with
// the lower reported utilisation; without a recent report half is assumed. Hosts in the
// data centre of this host are preferred as long as one of them may have capacity.

import (
	"math/rand/v2"
	"net/netip"

	"github.com/anvilglade/anvilglade"
)

// candidate is a host to which a request may be sent.
type candidate struct {
	member      anvilglade.ServiceMember
	utilisation anvilglade.Utilisation
}

func (s *Server) choosePeer(tried map[netip.AddrPort]bool) (anvilglade.ServiceMember, bool) {
	if s.options.Peers == nil {
		return anvilglade.ServiceMember{}, false
	}
	var sameDataCentre, otherDataCentres []candidate
	for _, member := range s.options.Members() {
		if !member.Accepts || !member.ControlAddress.IsValid() || tried[member.ControlAddress] || member.ControlAddress == s.options.Peers.options.Address {
			continue
		}
		utilisation, available := s.options.Peers.utilisationOf(member.ControlAddress)
		if !available {
			continue
		}
		if member.DataCentre == s.options.DataCentre {
			sameDataCentre = append(sameDataCentre, candidate{member, utilisation})
		} else {
			otherDataCentres = append(otherDataCentres, candidate{member, utilisation})
		}
	}
	if len(sameDataCentre) > 0 {
		return lessUtilised(sameDataCentre), true
	}
	if len(otherDataCentres) > 0 {
		return lessUtilised(otherDataCentres), true
	}
	return anvilglade.ServiceMember{}, false
}

// lessUtilised picks two random candidates and returns the one with the lower
// utilisation.
func lessUtilised(candidates []candidate) anvilglade.ServiceMember {
	first := rand.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first].member
	}
	second := (first + 1 + rand.IntN(len(candidates)-1)) % len(candidates)
	if candidates[second].utilisation < candidates[first].utilisation {
		first = second
	}
	return candidates[first].member
}
