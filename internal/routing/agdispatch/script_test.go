package agdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agdispatch"
	"github.com/anvilglade/anvilglade/internal/state/agfleet"
)

// TestScripts plays each file of testdata. A line is a time, a verb with its
// arguments and, after "=>", the verdict. Callers c1, c2, agents a1, a2 and
// service addresses s1, s2 stand for addresses. The comment at the top of a
// script says which failure it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts: %v, %d files", err, len(files))
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			newScript().play(t, string(data))
		})
	}
}

type script struct {
	start      time.Time
	now        time.Time
	fleet      *agfleet.Fleet
	dispatcher *agdispatch.Dispatcher
	sequence   anvilglade.Sequence
}

func newScript() *script {
	start := time.Unix(1_000_000, 0)
	fleet := agfleet.NewFleet(agfleet.Options{Self: ipOf("b1"), DataCentre: "dk1", Regions: map[anvilglade.DataCentreID]anvilglade.RegionID{"dk1": "dk", "dk2": "dk", "uk1": "uk"}})
	return &script{start: start, fleet: fleet, dispatcher: agdispatch.NewDispatcher(fleet, rand.New(rand.NewPCG(1, 1)), start)}
}

func (s *script) play(t *testing.T, text string) {
	t.Helper()
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		command, want, checked := strings.Cut(line, "=>")
		words := strings.Fields(command)
		at, err := time.ParseDuration(words[0])
		if err != nil {
			t.Fatalf("line %d: %v", number+1, err)
		}
		s.now = s.start.Add(at)
		got := s.step(t, words[1], words[2:])
		if checked && got != strings.Join(strings.Fields(want), " ") {
			t.Errorf("line %d: %s\n got %s", number+1, line, got)
		}
	}
}

// verbs names the verbs of a script. Each returns what the script compares.
var verbs = map[string]func(s *script, t *testing.T, args []string, verdict *agdispatch.Verdict) string{
	"State": func(s *script, t *testing.T, args []string, _ *agdispatch.Verdict) string {
		s.state(t, args)
		return ""
	},
	"Agent": func(s *script, _ *testing.T, args []string, _ *agdispatch.Verdict) string { s.agent(args); return "" },
	"Peer": func(s *script, _ *testing.T, args []string, _ *agdispatch.Verdict) string {
		s.sequence++
		status := anvilglade.BalancerStatus{Balancer: ipOf("b2"), Incarnation: 1, Sequence: s.sequence, Settled: args[0] == "Settled", Agents: ipsOf(args[1:])}
		s.fleet.HearBalancer(status, s.now)
		return ""
	},
	"Listed": func(s *script, _ *testing.T, args []string, _ *agdispatch.Verdict) string {
		s.fleet.ListAgents(ipsOf(args), s.now)
		return ""
	},
	"Evacuate": func(s *script, _ *testing.T, args []string, _ *agdispatch.Verdict) string {
		evacuations := anvilglade.Evacuations{Revision: anvilglade.StoreRevision(numberOf(args[0]))}
		for _, name := range args[1:] {
			evacuations.DataCentres = append(evacuations.DataCentres, anvilglade.DataCentreID(name))
		}
		s.fleet.OfferEvacuations(evacuations)
		return ""
	},
	"Open": func(s *script, _ *testing.T, args []string, verdict *agdispatch.Verdict) string {
		s.dispatcher.FromCaller(packetOf(args, anvilglade.FlagSYN), s.now, verdict)
		return describe(verdict)
	},
	"Data": func(s *script, _ *testing.T, args []string, verdict *agdispatch.Verdict) string {
		s.dispatcher.FromCaller(packetOf(args, anvilglade.FlagACK), s.now, verdict)
		return describe(verdict)
	},
	"Hold": func(s *script, _ *testing.T, args []string, _ *agdispatch.Verdict) string {
		s.dispatcher.Hold(packetOf(args, 0).FromCaller(), []byte("packet"))
		return ""
	},
	"Take": func(s *script, _ *testing.T, args []string, verdict *agdispatch.Verdict) string {
		held := s.dispatcher.TakeHeld(packetOf(args, 0).FromCaller(), verdict)
		return fmt.Sprint(len(held), " ", describe(verdict))
	},
	"Unsure": func(s *script, _ *testing.T, args []string, verdict *agdispatch.Verdict) string {
		if s.dispatcher.Unsure(ipOf(args[0]), packetOf(args[1:], 0).FromCaller(), verdict) == nil {
			return "nothing"
		}
		return describe(verdict)
	},
	"Tick": func(s *script, _ *testing.T, _ []string, _ *agdispatch.Verdict) string {
		s.fleet.Tick(s.now)
		return ""
	},
	"Sweep": func(s *script, _ *testing.T, _ []string, _ *agdispatch.Verdict) string {
		return fmt.Sprint(len(s.dispatcher.Sweep(s.now)))
	},
	"Searches": func(s *script, _ *testing.T, _ []string, _ *agdispatch.Verdict) string {
		var words []string
		for _, search := range s.dispatcher.Searches(s.now) {
			words = append(words, fmt.Sprintf("c%d:%d", search.Flow.Caller.IP[3], len(search.Missing)))
		}
		slices.Sort(words)
		return strings.Join(words, " ")
	},
	"Owner": func(s *script, _ *testing.T, args []string, _ *agdispatch.Verdict) string {
		s.dispatcher.Owner(ipOf(args[0]), packetOf(args[1:], 0).FromCaller(), slices.Contains(args, "Established"), option(args, "Seq"), s.now)
		return ""
	},
	"Absent": func(s *script, _ *testing.T, args []string, verdict *agdispatch.Verdict) string {
		s.dispatcher.Absent(ipOf(args[0]), packetOf(args[1:], 0).FromCaller(), s.now, verdict)
		return describe(verdict)
	},
	"Returned": func(s *script, _ *testing.T, args []string, verdict *agdispatch.Verdict) string {
		s.dispatcher.Returned(ipOf(args[0]), packetOf(args[1:], anvilglade.FlagACK), s.now, verdict)
		return describe(verdict)
	},
	"Exhausted": func(s *script, _ *testing.T, args []string, verdict *agdispatch.Verdict) string {
		s.dispatcher.Exhausted(packetOf(args, anvilglade.FlagSYN), verdict)
		return describe(verdict)
	},
}

func (s *script) step(t *testing.T, verb string, args []string) string {
	t.Helper()
	play, known := verbs[verb]
	if !known {
		t.Fatalf("unknown verb %s", verb)
	}
	var verdict agdispatch.Verdict
	return play(s, t, args, &verdict)
}

func (s *script) state(t *testing.T, args []string) {
	t.Helper()
	state := anvilglade.DesiredState{Version: anvilglade.DesiredVersion(numberOf(args[0]))}
	for _, arg := range args[1:] {
		address, services, _ := strings.Cut(arg, "=")
		route := anvilglade.PacketRoute{Address: serviceOf(address)}
		for _, service := range strings.Split(services, ",") {
			name, region, found := strings.Cut(service, "@")
			route.Backends = append(route.Backends, anvilglade.WeightedService{Service: anvilglade.ServiceID(name), Weight: 1})
			if found {
				route.Regions = append(route.Regions, anvilglade.RegionID(region))
			}
		}
		state.Routes = append(state.Routes, route)
	}
	s.fleet.OfferDesired(state)
}

func (s *script) agent(args []string) {
	s.sequence++
	s.fleet.HearAgent(anvilglade.AgentStatus{
		Agent: ipOf(args[0]), Incarnation: 1, Sequence: s.sequence, Service: anvilglade.ServiceID(args[1]),
		DataCentre: anvilglade.DataCentreID(args[2]), Slots: 4, Born: int64(option(args, "Born")),
		Flows: int(option(args, "Flows")), Ended: slices.Contains(args, "Ended"), Accepts: !slices.Contains(args, "Refuses") && !slices.Contains(args, "Ended"),
	}, s.now)
}

func describe(verdict *agdispatch.Verdict) string {
	words := []string{[]string{"Drop", "Forward", "Reset", "Find", "Hold"}[verdict.Action], string(verdict.Reason)}
	to := append([]anvilglade.IPv4(nil), verdict.To...)
	slices.SortFunc(to, func(a, b anvilglade.IPv4) int { return int(a[3]) - int(b[3]) })
	for _, ip := range to {
		words = append(words, fmt.Sprintf("a%d", ip[3]))
	}
	if verdict.Foreign {
		words = append(words, "Foreign")
	}
	return strings.TrimSpace(strings.Join(words, " "))
}

func packetOf(args []string, flags anvilglade.PacketFlags) *anvilglade.Packet {
	caller := anvilglade.Endpoint{IP: anvilglade.IPv4{100, 64, 0, byte(numberOf(args[0][1:]))}, Port: 40000}
	return &anvilglade.Packet{Source: caller, Destination: serviceOf(args[1]), Flags: flags, Acknowledged: option(args, "Ack")}
}

func serviceOf(name string) anvilglade.Endpoint {
	return anvilglade.Endpoint{IP: anvilglade.IPv4{198, 18, 0, byte(numberOf(name[1:]))}, Port: 443}
}

func ipOf(name string) anvilglade.IPv4 {
	if name[0] == 'b' {
		return anvilglade.IPv4{10, 0, 1, byte(numberOf(name[1:]))}
	}
	return anvilglade.IPv4{10, 0, 0, byte(numberOf(name[1:]))}
}

func ipsOf(names []string) []anvilglade.IPv4 {
	var ips []anvilglade.IPv4
	for _, name := range names {
		ips = append(ips, ipOf(name))
	}
	return ips
}

func numberOf(text string) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return number
}

func option(args []string, name string) uint32 {
	for _, arg := range args {
		if value, found := strings.CutPrefix(arg, name+"="); found {
			return uint32(numberOf(value))
		}
	}
	return 0
}
