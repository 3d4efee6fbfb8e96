package agpacketbalancer

import (
	"context"
	"math/rand"
	"net/http"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

// idleFeed is a feed that is never read.
type idleFeed struct{ anvilglade.PlatformFeed }

func (idleFeed) Era() anvilglade.StoreEra { return 0 }

// newTestProcess returns a balancer with a desired state that runs no tasks.
func newTestProcess(t *testing.T) *Process {
	t.Helper()
	settings := anvilglade.PlatformSettings{Node: "b", IP: anvilglade.IPv4{127, 0, 0, 1}, DataCentre: "dk1"}
	process, stop, err := NewProcess(context.Background(), settings, Parts{
		Codec: agplatform.Codec{}, Feed: idleFeed{}, Unreadable: func() uint64 { return 0 },
		ReadyHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	process.fleet.AdoptDesired(anvilglade.DesiredState{Version: 3, Routes: []anvilglade.PacketRoute{{
		Name: "r", Address: anvilglade.Endpoint{IP: anvilglade.IPv4{198, 18, 0, 1}, Port: 443},
		Backends: []anvilglade.WeightedService{{Service: "a", Weight: 2}, {Service: "b", Weight: 1}},
		Class:    anvilglade.RequestClass{Target: 200 * time.Millisecond, Timeout: time.Second},
	}}})
	return process
}

// oddMessage returns a message of another process with random fields, some of which are
// those of a usual message, or with random bytes.
func oddMessage(t *testing.T, random *rand.Rand, from anvilglade.IPv4) []byte {
	t.Helper()
	kind := random.Intn(8)
	if kind == 0 {
		data := make([]byte, random.Intn(80))
		random.Read(data)
		if len(data) > 0 {
			data[0] %= byte(agmessage.KindBalancerStatus) + 2
		}
		return data
	}
	var datagram []byte
	var err error
	if kind < 5 {
		var status anvilglade.AgentStatus
		fillRandomly(t, random, &status)
		status.Agent, status.Service, status.DataCentre = from, "a", "dk1"
		datagram, err = agmessage.AppendAgentStatus(nil, &status)
	} else {
		var status anvilglade.BalancerStatus
		fillRandomly(t, random, &status)
		status.Balancer = from
		datagram, err = agmessage.AppendBalancerStatus(nil, &status)
	}
	if err != nil {
		t.Fatal(err)
	}
	if random.Intn(4) == 0 {
		datagram[1+random.Intn(len(datagram)-1)] ^= byte(1 << random.Intn(8))
	}
	return datagram
}

// fillRandomly replaces half of the fields of a struct by random values.
func fillRandomly(t *testing.T, random *rand.Rand, target any) {
	t.Helper()
	fields := reflect.ValueOf(target).Elem()
	for i := range fields.NumField() {
		if random.Intn(2) == 0 {
			continue
		}
		value, ok := quick.Value(fields.Field(i).Type(), random)
		if !ok {
			t.Fatalf("no random value of type %s", fields.Field(i).Type())
		}
		fields.Field(i).Set(value)
	}
}

// Guards against a message of another process that ends the balancer.
func TestOddMessagesDoNotEndTheBalancer(t *testing.T) {
	process := newTestProcess(t)
	random := rand.New(rand.NewSource(1))
	writer := process.packets.NewWriter(batchSize)
	now := time.Now()
	var verdict agdispatch.Verdict
	for i := range 3_000 {
		now = now.Add(time.Duration(random.Intn(100)) * time.Millisecond)
		from := anvilglade.IPv4{127, 0, 1, byte(random.Intn(8))}
		process.mu.Lock()
		process.handleMessage(writer, oddMessage(t, random, from), from, now)
		packet := anvilglade.Packet{
			Source:      anvilglade.Endpoint{IP: anvilglade.IPv4{127, 1, 0, 1}, Port: uint16(i)},
			Destination: anvilglade.Endpoint{IP: anvilglade.IPv4{198, 18, 0, 1}, Port: 443},
			Flags:       anvilglade.FlagSYN,
		}
		process.dispatcher.FromCaller(&packet, now, &verdict)
		process.fleet.NewerPeer(now)
		process.fleet.WatchRole(now)
		process.dispatcher.RefreshSplits(now)
		process.fleet.Tick(now)
		process.dispatcher.RemoveLost(now)
		process.status(now)
		process.mu.Unlock()
	}
}
