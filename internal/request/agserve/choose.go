package agserve

// Choice of another host: power of two choices on the utilisation that is
// known, within the own data centre as long as a host there may have capacity.

import (
	"math/rand/v2"
	"net/netip"

	"github.com/anvilglade/anvilglade"
)

type option struct {
	member      anvilglade.ServiceMember
	utilisation anvilglade.Utilisation
}

func (s *Server) choose(tried map[netip.AddrPort]bool) (anvilglade.ServiceMember, bool) {
	if s.options.Peers == nil {
		return anvilglade.ServiceMember{}, false
	}
	var near, far []option
	for _, member := range s.options.Members() {
		if !member.Accepts || !member.ControlAddress.IsValid() || tried[member.ControlAddress] || member.ControlAddress == s.options.Peers.options.Address {
			continue
		}
		utilisation, ask := s.options.Peers.known(member.ControlAddress)
		if !ask {
			continue
		}
		if member.DataCentre == s.options.DataCentre {
			near = append(near, option{member, utilisation})
		} else {
			far = append(far, option{member, utilisation})
		}
	}
	if len(near) > 0 {
		return lessUsed(near), true
	}
	if len(far) > 0 {
		return lessUsed(far), true
	}
	return anvilglade.ServiceMember{}, false
}

// lessUsed draws two options and returns the one with the lower utilisation.
func lessUsed(options []option) anvilglade.ServiceMember {
	first := rand.IntN(len(options))
	if len(options) == 1 {
		return options[first].member
	}
	second := (first + 1 + rand.IntN(len(options)-1)) % len(options)
	if options[second].utilisation < options[first].utilisation {
		first = second
	}
	return options[first].member
}
