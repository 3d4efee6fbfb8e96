package agrank_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/membership/agrank"
	"github.com/anvilglade/anvilglade/internal/stand/agscript"
)

// TestScripts runs each script in testdata. Members are written as NAME:DATA_CENTRE:CAPACITY,
// where b1 and b2 denote addresses.
func TestScripts(t *testing.T) {
	agscript.Run(t, func() agscript.Player {
		player := player{start: time.Unix(1_000_000, 0)}
		return func(t *testing.T, step *agscript.Step, _ time.Time) string {
			player.t = t
			return player.play(step)
		}
	})
}

type player struct {
	t       *testing.T
	start   time.Time
	monitor *agrank.Monitor
	limits  anvilglade.Limits
	used    agrank.Reading
	now     time.Duration
}

func (p *player) play(step *agscript.Step) string {
	p.t.Helper()
	switch step.Verb {
	case "Order":
		return p.order(step.Args)
	case "Large":
		return names(agrank.Large(p.members(step.Args)))
	case "Capacity":
		return strconv.Itoa(int(agrank.CapacityOf(p.parseLimits(step.Args))))
	case "Limits":
		p.limits = p.parseLimits(step.Args)
		p.monitor = agrank.NewMonitor(p.limits)
	case "Use":
		return p.use(step)
	default:
		p.t.Fatalf("unknown verb: %s", step.Source)
	}
	return ""
}

// order returns Order and checks that Position agrees with it.
func (p *player) order(args []string) string {
	members := p.members(args)
	var list []anvilglade.IPv4
	for i, member := range agrank.Order(members) {
		if position := agrank.Position(members, member.Address); position != i {
			p.t.Errorf("position of %s is %d, want %d", names([]anvilglade.IPv4{member.Address}), position, i)
		}
		list = append(list, member.Address)
	}
	return names(list)
}

// use reports a constant use of the limits, as shares, from the last step until this one,
// four times a second, and returns the announced capacity.
func (p *player) use(step *agscript.Step) string {
	const tick = 250 * time.Millisecond
	processor, sent := p.number(step.Args, "Processor"), p.number(step.Args, "Sent")
	for ; p.now <= step.At; p.now += tick {
		p.used.Processor += time.Duration(processor * float64(p.limits.Processor) * float64(tick))
		p.used.Sent.Bytes += uint64(sent * float64(p.limits.Link) * 1e6 / 8 * tick.Seconds())
		p.monitor.Observe(p.used, p.start.Add(p.now))
	}
	return strconv.Itoa(int(p.monitor.Capacity()))
}

func (p *player) members(args []string) []agrank.Member {
	p.t.Helper()
	var list []agrank.Member
	for _, arg := range args {
		parts := strings.Split(arg, ":")
		capacity, err := strconv.Atoi(parts[2])
		if err != nil {
			p.t.Fatal(err)
		}
		list = append(list, agrank.Member{
			Address: anvilglade.IPv4{10, 0, 0, parts[0][1] - '0'}, DataCentre: anvilglade.DataCentreID(parts[1]), Capacity: anvilglade.Capacity(capacity),
		})
	}
	return list
}

func (p *player) parseLimits(args []string) anvilglade.Limits {
	return anvilglade.Limits{
		Processor: anvilglade.Cores(p.number(args, "Processor")), Speed: anvilglade.SpeedFactor(p.number(args, "Speed")),
		Link: anvilglade.LinkRate(p.number(args, "Link")), Memory: anvilglade.MemorySize(p.number(args, "Memory")),
	}
}

func (p *player) number(args []string, name string) float64 {
	value, err := strconv.ParseFloat(agscript.Option(args, name, "0"), 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return value
}

func names(addresses []anvilglade.IPv4) string {
	var list []string
	for _, address := range addresses {
		list = append(list, fmt.Sprintf("b%d", address[3]))
	}
	return strings.Join(list, " ")
}
