package agserve_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agserve"
	"github.com/anvilglade/anvilglade/internal/request/agticket"
)

var _ = Describe("Reports under tickets", func() {
	var f *fleet
	var client *http.Client
	var runs atomic.Int64
	var hold chan struct{}
	var begun chan struct{}
	background := context.Background()

	// ledger counts runs and, if hold is set, waits for it or the caller.
	ledger := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		run := runs.Add(1)
		if hold != nil {
			begun <- struct{}{}
			select {
			case <-hold:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(w, "run %d of %s", run, body)
	}
	report := func(ctx context.Context, client *http.Client, a *agent, ticket, body string, headers ...string) reply {
		return call(ctx, client, a, http.MethodPost, "/reports", []byte(body), append(headers, agproblem.HeaderTicket, ticket)...)
	}
	inBackground := func(send func() reply) <-chan reply {
		answers := make(chan reply, 1)
		Expect(f.group.Start("caller", func(context.Context) error { answers <- send(); return nil })).To(Succeed())
		return answers
	}

	BeforeEach(func() {
		f = newFleet(GinkgoTB())
		client = newClient(GinkgoTB())
		runs.Store(0)
		hold, begun = nil, make(chan struct{}, 10)
	})

	// Guards against a second run when the answer was lost on its way back.
	It("gives every retry the outcome of the first attempt", func() {
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		b := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		for _, at := range []*agent{a, a, b} {
			got := report(background, newClient(GinkgoTB()), at, ticket, "7")
			Expect(string(got.body)).To(Equal("run 1 of 7"))
			Expect(got.header.Get(agproblem.HeaderRepeat)).To(Equal("Ticket"))
		}
		Expect(b.server.Count("ReportsPassed")).To(Equal(int64(1)))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	// Guards against a retry that overtakes the first attempt.
	It("lets a retry wait for the attempt that runs", func() {
		hold = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		first := inBackground(func() reply { return report(background, newClient(GinkgoTB()), a, ticket, "7") })
		Eventually(begun, "10s").Should(Receive())
		got := report(background, client, a, ticket, "7", agproblem.HeaderTimeout, "50")
		Expect(got.problem.Type).To(Equal(agproblem.ReportRunning))
		Expect(got.problem.NotRun).To(BeFalse())
		second := inBackground(func() reply { return report(background, newClient(GinkgoTB()), a, ticket, "7") })
		Eventually(func() int64 { return a.server.Count("ReportsRetried") }, "10s").Should(Equal(int64(2)))
		close(hold)
		for _, answers := range []<-chan reply{first, second} {
			var got reply
			Eventually(answers, "10s").Should(Receive(&got))
			Expect(string(got.body)).To(Equal("run 1 of 7"))
		}
	})

	// Guards against a lost connection that takes the report with it.
	It("finishes the report when the caller's connection is lost", func() {
		hold = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		lossy := newClient(GinkgoTB())
		first := inBackground(func() reply { return report(background, lossy, a, ticket, "7") })
		Eventually(begun, "10s").Should(Receive())
		Expect(lossy.Transport.(io.Closer).Close()).To(Succeed())
		Eventually(first, "10s").Should(Receive())
		// Longer than the time after which a reset counts as the caller's wish.
		Consistently(func() int { return a.tickets.Usage().Running }, "300ms").Should(Equal(1))
		close(hold)
		Expect(string(report(background, client, a, ticket, "7").body)).To(Equal("run 1 of 7"))
	})

	// Guards against work that goes on after its caller gave it up.
	It("cancels the report when its caller resets the stream", func() {
		hold = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		ctx, cancel := context.WithCancel(background)
		first := inBackground(func() reply { return report(ctx, client, a, ticket, "7") })
		Eventually(begun, "10s").Should(Receive())
		cancel()
		Eventually(first, "10s").Should(Receive())
		Eventually(func() int { return a.tickets.Usage().Running }, "10s").Should(BeZero())
		got := report(background, client, a, ticket, "7")
		Expect(got.problem.Type).To(Equal(agproblem.OutcomeUnknown))
		Expect(a.journal.Page().Entries).To(HaveLen(1))
	})

	// Guards against a first attempt whose lost connection counts as a caller
	// who still waits.
	It("cancels the report when its caller resets the retry", func() {
		hold = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		lossy := newClient(GinkgoTB())
		first := inBackground(func() reply { return report(background, lossy, a, ticket, "7") })
		Eventually(begun, "10s").Should(Receive())
		Expect(lossy.Transport.(io.Closer).Close()).To(Succeed())
		Eventually(first, "10s").Should(Receive())
		ctx, cancel := context.WithCancel(background)
		retry := inBackground(func() reply { return report(ctx, client, a, ticket, "7") })
		Eventually(func() int64 { return a.server.Count("ReportsRetried") }, "10s").Should(Equal(int64(1)))
		cancel()
		Eventually(retry, "10s").Should(Receive())
		Eventually(func() int { return a.tickets.Usage().Running }, "10s").Should(BeZero())
	})

	// Guards against a second run by an agent that did not issue the ticket,
	// and by a new process on the address of the issuer.
	It("answers unknown when the issuing process is gone", func() {
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		b := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		Expect(report(background, client, a, ticket, "7").status).To(Equal(http.StatusOK))
		a.stop()
		got := report(background, client, b, ticket, "7")
		Expect(got.problem.Type).To(Equal(agproblem.OutcomeUnknown))
		Expect(got.problem.NotRun).To(BeFalse())
		Expect(got.problem.AttemptNotRun).To(BeTrue())
		Expect(b.journal.Page().Entries).To(HaveLen(1))
		Expect(b.journal.Page().Entries[0].Ticket).To(Equal(ticket))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	// Guards against a caller that gives up a report whose host is paused.
	It("lets the caller ask again when the issuer is not known for now", func() {
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		b := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		f.show(b)
		got := report(background, client, b, ticket, "7")
		Expect(got.problem.Type).To(Equal(agproblem.OutcomeUnknown))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		f.show(a, b)
		Expect(string(report(background, client, b, ticket, "7").body)).To(Equal("run 1 of 7"))
		Expect(b.journal.Page().Entries).To(BeEmpty())
	})

	// Guards against a new process that runs a report of its predecessor.
	It("answers unknown after a restart on the same address", func() {
		a := f.add(startBackend(GinkgoTB(), ledger), func(o *agserve.Options) {
			var err error
			o.Tickets, err = agticket.NewTable(agticket.Options{Issuer: o.Tickets.Address(), Incarnation: 2})
			Expect(err).NotTo(HaveOccurred())
		})
		old, _, err := a.tickets.Issue()
		Expect(err).NotTo(HaveOccurred())
		got := report(background, client, a, old, "7")
		Expect(got.problem.Type).To(Equal(agproblem.OutcomeUnknown))
		Expect(got.problem.Detail).To(ContainSubstring("restarted"))
		Expect(runs.Load()).To(BeZero())
	})

	// Guards against a report that is run again after its server died.
	It("keeps unknown when the backend server breaks off after the run", func() {
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}), nil)
		ticket := takeTicket(client, a)
		for range 2 {
			Expect(report(background, client, a, ticket, "7").problem.Type).To(Equal(agproblem.OutcomeUnknown))
		}
		Expect(runs.Load()).To(Equal(int64(1)))
		Expect(a.journal.Page().Entries).To(HaveLen(1))
	})

	// Guards against an earlier attempt that runs after "not run" was said.
	It("never runs a report under a ticket that was refused", func() {
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		a.admitter.refuse(anvilglade.RefusalSlots)
		got := report(background, client, a, ticket, "7")
		Expect(got.problem.Type).To(Equal(agproblem.NotRun))
		a.admitter.refuse(anvilglade.RefusalNone)
		Expect(report(background, client, a, ticket, "7").problem.Type).To(Equal(agproblem.NotRun))
		Expect(runs.Load()).To(BeZero())
		Expect(string(report(background, client, a, takeTicket(client, a), "7").body)).To(Equal("run 1 of 7"))
	})

	// Guards against a false "not run" when the connection was refused, which
	// net/http reports in the same way as other failures.
	It("says not run when the backend server cannot be reached", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		Expect(listener.Close()).To(Succeed())
		a := f.add(address, nil)
		Expect(report(background, client, a, takeTicket(client, a), "7").problem.Type).To(Equal(agproblem.NotRun))
		Expect(call(background, client, a, http.MethodPost, "/reports", nil).problem.Type).To(Equal(agproblem.NotRun))
	})

	// Guards against a retry that is refused because its query has the deadline
	// of the attempt.
	It("accepts a retry with another query", func() {
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		for _, query := range []string{"?deadline=1", "?deadline=2"} {
			got := call(background, client, a, http.MethodPost, "/reports"+query, []byte("7"), agproblem.HeaderTicket, ticket)
			Expect(string(got.body)).To(Equal("run 1 of 7"))
		}
	})

	// Guards against the answer of one report given to another.
	It("refuses a ticket that was used for another report", func() {
		a := f.add(startBackend(GinkgoTB(), ledger), nil)
		ticket := takeTicket(client, a)
		Expect(report(background, client, a, ticket, "7").status).To(Equal(http.StatusOK))
		got := report(background, client, a, ticket, "8")
		Expect(got.problem.Type).To(Equal(agproblem.TicketReused))
		Expect(got.problem.NotRun).To(BeFalse())
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	// Guards against an answer that says nothing about a report that ran.
	It("says that a report ran whose answer is too large to keep", func() {
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2<<20)) }), nil)
		got := report(background, client, a, takeTicket(client, a), "7")
		Expect(got.problem.Type).To(Equal(agproblem.AnswerNotKept))
		Expect(got.problem.AnswerStatus).To(Equal(http.StatusOK))
	})
})

var _ = Describe("Other hosts", func() {
	var f *fleet
	var client *http.Client
	background := context.Background()

	BeforeEach(func() {
		f = newFleet(GinkgoTB())
		client = newClient(GinkgoTB())
	})

	named := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) }
	}

	// Guards against a refusal while another host has capacity.
	It("places a report on a host with capacity", func() {
		a := f.add(startBackend(GinkgoTB(), named("a")), nil)
		f.add(startBackend(GinkgoTB(), named("b")), nil)
		a.admitter.refuse(anvilglade.RefusalSlots)
		for _, headers := range [][]string{nil, {agproblem.HeaderTicket, takeTicket(client, a)}} {
			got := call(background, client, a, http.MethodPost, "/reports", []byte("x"), headers...)
			Expect(string(got.body)).To(Equal("b"))
		}
	})

	// Guards against a request that wanders through a full fleet.
	It("asks at most two other hosts, each once", func() {
		agents := make([]*agent, 5)
		for i := range agents {
			agents[i] = f.add(startBackend(GinkgoTB(), named("x")), nil)
			agents[i].admitter.refuse(anvilglade.RefusalSlots)
		}
		got := call(background, client, agents[0], http.MethodPost, "/reports", nil)
		Expect(got.problem.Type).To(Equal(agproblem.NotRun))
		asked := int64(0)
		for _, other := range agents[1:] {
			Expect(other.server.Count("ReceivedFromPeers")).To(BeNumerically("<=", 1))
			asked += other.server.Count("ReceivedFromPeers")
		}
		Expect(asked).To(Equal(int64(2)))
	})

	// Guards against retries that add load while the service fails.
	It("repeats a failed GET within the budget and a POST never", func() {
		failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
		a := f.add(startBackend(GinkgoTB(), failing), nil)
		b := f.add(startBackend(GinkgoTB(), failing), nil)
		const requests = 200
		for range requests {
			Expect(call(background, client, a, http.MethodGet, "/", nil).status).To(Equal(http.StatusInternalServerError))
		}
		Expect(b.server.Count("ReceivedFromPeers")).To(BeNumerically(">=", 1))
		Expect(b.server.Count("ReceivedFromPeers")).To(BeNumerically("<=", 0.2*requests))
		before := b.server.Count("ReceivedFromPeers")
		for range 20 {
			call(background, client, a, http.MethodPost, "/", nil)
		}
		Expect(b.server.Count("ReceivedFromPeers")).To(Equal(before))
	})

	// Guards against a caller who reaches the control address and passes as an
	// agent.
	It("takes nothing on the control address without a certificate", func() {
		a := f.add(startBackend(GinkgoTB(), named("a")), nil)
		control := &agent{address: a.control}
		Expect(call(background, client, control, http.MethodGet, "/", nil, "Anvilglade-Service", string(service)).err).To(HaveOccurred())
		Expect(a.server.Count("ReceivedFromPeers")).To(BeZero())
	})

	// Guards against a failure that another host could have hidden.
	It("hides a broken answer to a GET behind another host", func() {
		a := f.add(startBackend(GinkgoTB(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), nil)
		f.add(startBackend(GinkgoTB(), named("b")), nil)
		Expect(string(call(background, client, a, http.MethodGet, "/", nil).body)).To(Equal("b"))
	})
})

var _ = Describe("Drain", func() {
	// Guards against a stop that cuts off work or never ends.
	It("ends requests in progress, refuses new ones and cuts lines at the limit", func() {
		f := newFleet(GinkgoTB())
		client := newClient(GinkgoTB())
		begun, hold := make(chan struct{}, 2), make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			begun <- struct{}{}
			if r.URL.Path == "/alerts" {
				_, _ = io.WriteString(w, "first\n")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
				return
			}
			<-hold
			_, _ = io.WriteString(w, "whole")
		}), nil)
		ticket := takeTicket(client, a)
		answers := make(chan reply, 1)
		Expect(f.group.Start("caller", func(context.Context) error {
			answers <- call(context.Background(), client, a, http.MethodGet, "/", nil)
			return nil
		})).To(Succeed())
		line := make(chan reply, 1)
		lineClient := newClient(GinkgoTB())
		Expect(f.group.Start("line", func(context.Context) error {
			line <- call(context.Background(), lineClient, a, http.MethodGet, "/alerts", nil)
			return nil
		})).To(Succeed())
		Eventually(begun, "10s").Should(Receive())
		Eventually(begun, "10s").Should(Receive())
		limit, cut := context.WithCancel(context.Background())
		drained := make(chan error, 1)
		Expect(f.group.Start("drain", func(context.Context) error { drained <- a.server.Drain(limit); return nil })).To(Succeed())
		Eventually(func() error {
			_, _, err := a.tickets.Issue()
			return err
		}, "10s").Should(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		late := call(ctx, newClient(GinkgoTB()), a, http.MethodPost, "/reports", []byte("x"), agproblem.HeaderTicket, ticket)
		Expect(late.err).To(HaveOccurred())
		close(hold)
		var got reply
		Eventually(answers, "10s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(string(got.body)).To(Equal("whole"))
		Consistently(drained, "300ms").ShouldNot(Receive())
		cut()
		Eventually(drained, "10s").Should(Receive(MatchError(agserve.ErrCutOff)))
		Eventually(line, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
	})
})
