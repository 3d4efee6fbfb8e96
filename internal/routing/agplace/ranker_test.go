package agplace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/routing/agplace"
)

var _ = Describe("Ranker", func() {
	const work = 15 * time.Millisecond
	measured := func(n byte, wait time.Duration) agplace.Option {
		option := host(n)
		option.Load = agplace.Load{ServiceTime: work, Wait: wait, RequestRate: 10}
		return option
	}
	var ranker agplace.Ranker

	// Guards against another order for services whose agents report no service time.
	It("ranks hosts without a service time as before", func() {
		options := []agplace.Option{host(1), host(2), host(3)}
		for i, flows := range []int{40, 10, 20} {
			options[i].Flows, options[i].Order = flows, uint64(i)
		}
		Expect(ranker.Rank(nil, options, 1)).To(Equal(agplace.Rank(nil, options)))
		Expect(ranker.Best()).To(Equal(agplace.Expectation{}))
		mixed := append(options, measured(4, time.Second))
		Expect(ranker.Rank(nil, mixed, 1)[:3]).To(Equal(agplace.Rank(nil, options)))
	})

	// Guards against flows to agents of one kind only while a service is updated.
	It("compares hosts with and without a service time", func() {
		idle, busy := host(1), host(2)
		busy.ActiveRequests = 20
		Expect(ranker.Rank(nil, []agplace.Option{busy, measured(3, 5*time.Millisecond)}, 1)[0][3]).To(BeEquivalentTo(3))
		Expect(ranker.Rank(nil, []agplace.Option{idle, measured(3, 50*time.Millisecond)}, 1)[0][3]).To(BeEquivalentTo(1))
	})

	// Guards against flows to another data centre without need, and to suspect or failing
	// hosts while there are others.
	It("uses hosts elsewhere only if their data centre receives flows or no local one is left", func() {
		near, far := measured(1, 80*time.Millisecond), measured(2, 0)
		far.Local, far.PathCost = false, 5*time.Millisecond
		Expect(ranker.Rank(nil, []agplace.Option{near, far}, 1)[0][3]).To(BeEquivalentTo(1))
		far.Open = true
		Expect(ranker.Rank(nil, []agplace.Option{near, far}, 1)[0][3]).To(BeEquivalentTo(2))
		Expect(ranker.Best().Completion).To(BeNumerically(">=", 20*time.Millisecond))
		far.Open, near.Suspect = false, true
		Expect(ranker.Rank(nil, []agplace.Option{near, far}, 1)[0][3]).To(BeEquivalentTo(2))
	})

	// Guards against two data centres that send flows to each other after the load has
	// moved from one to the other.
	It("lets no data centre send flows right after it has received some", func() {
		const budget, path = 100 * time.Millisecond, 5 * time.Millisecond
		hosts := func(a, b time.Duration) []agplace.CentreHost {
			return []agplace.CentreHost{
				{DataCentre: "a", Slots: 2, Flows: 5, Load: agplace.Load{ServiceTime: work, Wait: a}},
				{DataCentre: "b", Slots: 2, Flows: 5, Load: agplace.Load{ServiceTime: work, Wait: b}},
			}
		}
		views := map[anvilglade.DataCentreID]*agplace.Centres{"a": {}, "b": {}}
		now := time.Unix(1_000_000, 0)
		update := func(a, b time.Duration, length time.Duration) (fromA, fromB bool) {
			for end := now.Add(length); now.Before(end); now = now.Add(20 * time.Millisecond) {
				for id, view := range views {
					view.Update(hosts(a, b), id, path, budget, now)
				}
			}
			return views["a"].Receives("b"), views["b"].Receives("a")
		}
		fromA, fromB := update(budget, 0, time.Second)
		Expect([]bool{fromA, fromB}).To(Equal([]bool{true, false}))
		fromA, fromB = update(0, budget, 900*time.Millisecond)
		Expect([]bool{fromA, fromB}).To(Equal([]bool{false, false}))
		fromA, fromB = update(0, budget, time.Second)
		Expect([]bool{fromA, fromB}).To(Equal([]bool{false, true}))
	})
})
