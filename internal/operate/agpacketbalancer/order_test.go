package agpacketbalancer

import (
	"fmt"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agsocket"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// Guards against opening packets that delay packets of established flows, against
// reordered packets of one flow, against malformed packets that are handled, and against a changed order at balancers whose limits
// are unknown.
func TestPacketsOfEstablishedFlowsGoFirst(t *testing.T) {
	packets := []struct {
		caller byte
		flags  anvilglade.PacketFlags
	}{
		{1, anvilglade.FlagSYN}, {2, anvilglade.FlagACK}, {1, anvilglade.FlagACK}, {3, anvilglade.FlagSYN}, {2, anvilglade.FlagACK}, {4, anvilglade.FlagACK}, {4, anvilglade.FlagSYN},
	}
	var batch []agsocket.Packet
	for _, p := range packets {
		packet := anvilglade.Packet{Source: anvilglade.Endpoint{IP: anvilglade.IPv4{10, 0, 0, p.caller}, Port: 9}, Flags: p.flags}
		batch = append(batch, agsocket.Packet{Data: agplatform.AppendPacket(nil, &packet, nil, 1)})
	}
	batch = append(batch, agsocket.Packet{Data: []byte("malformed")})
	for _, c := range []struct {
		openingLast bool
		want        string
	}{{true, "[1 4 5 0 2 3 6]"}, {false, "[0 1 2 3 4 5 6]"}} {
		order := batchOrder{codec: agplatform.Codec{}, openingLast: c.openingLast}
		for range 2 {
			indexes := order.of(batch)
			if got := fmt.Sprint(indexes); got != c.want {
				t.Errorf("opening packets last %t: order is %s, want %s", c.openingLast, got, c.want)
			}
			for _, i := range indexes {
				if got := order.packets[i].Source.IP[3]; got != packets[i].caller {
					t.Errorf("packet %d is of caller %d, want %d", i, got, packets[i].caller)
				}
			}
		}
	}
}
