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

var _ = Describe("Reports with tickets", func() {
	var f *fleet
	var client *http.Client
	var runs atomic.Int64
	var unblock chan struct{}
	var started chan struct{}
	background := context.Background()

	// countRuns counts the runs. If unblock is set, it waits until that is
	// closed or the request is canceled.
	countRuns := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		run := runs.Add(1)
		if unblock != nil {
			started <- struct{}{}
			select {
			case <-unblock:
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
		unblock, started = nil, make(chan struct{}, 10)
	})

	// Guards against running a report twice when its response was lost.
	It("returns the outcome of the first attempt to every retry", func() {
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		b := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		for _, at := range []*agent{a, a, b} {
			got := report(background, newClient(GinkgoTB()), at, ticket, "7")
			Expect(string(got.body)).To(Equal("run 1 of 7"))
			Expect(got.header.Get(agproblem.HeaderRepeat)).To(Equal("Ticket"))
		}
		Expect(b.server.Count("ReportsPassed")).To(Equal(int64(1)))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	// Guards against a retry that runs the report while the first attempt is
	// still running.
	It("makes a retry wait for the running attempt", func() {
		unblock = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		first := inBackground(func() reply { return report(background, newClient(GinkgoTB()), a, ticket, "7") })
		Eventually(started, "10s").Should(Receive())
		got := report(background, client, a, ticket, "7", agproblem.HeaderTimeout, "50")
		Expect(got.problem.Type).To(Equal(agproblem.ReportRunning))
		Expect(got.problem.NotRun).To(BeFalse())
		second := inBackground(func() reply { return report(background, newClient(GinkgoTB()), a, ticket, "7") })
		Eventually(func() int64 { return a.server.Count("ReportsRetried") }, "10s").Should(Equal(int64(2)))
		close(unblock)
		for _, answers := range []<-chan reply{first, second} {
			var got reply
			Eventually(answers, "10s").Should(Receive(&got))
			Expect(string(got.body)).To(Equal("run 1 of 7"))
		}
	})

	// Guards against canceling the report because the connection was lost.
	It("finishes the report when the caller's connection is lost", func() {
		unblock = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		lossy := newClient(GinkgoTB())
		first := inBackground(func() reply { return report(background, lossy, a, ticket, "7") })
		Eventually(started, "10s").Should(Receive())
		Expect(lossy.Transport.(io.Closer).Close()).To(Succeed())
		Eventually(first, "10s").Should(Receive())
		// Longer than the time after which a reset counts as a cancellation.
		Consistently(func() int { return a.tickets.Usage().Running }, "300ms").Should(Equal(1))
		close(unblock)
		Expect(string(report(background, client, a, ticket, "7").body)).To(Equal("run 1 of 7"))
	})

	// Guards against a report that continues to run after its caller canceled
	// it.
	It("cancels the report when its caller resets the stream", func() {
		unblock = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		ctx, cancel := context.WithCancel(background)
		first := inBackground(func() reply { return report(ctx, client, a, ticket, "7") })
		Eventually(started, "10s").Should(Receive())
		cancel()
		Eventually(first, "10s").Should(Receive())
		Eventually(func() int { return a.tickets.Usage().Running }, "10s").Should(BeZero())
		got := report(background, client, a, ticket, "7")
		Expect(got.problem.Type).To(Equal(agproblem.OutcomeUnknown))
		Expect(a.journal.Page().Entries).To(HaveLen(1))
	})

	// Guards against counting a first attempt whose connection was lost as an
	// attempt that is still waiting.
	It("cancels the report when its caller resets the retry", func() {
		unblock = make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		lossy := newClient(GinkgoTB())
		first := inBackground(func() reply { return report(background, lossy, a, ticket, "7") })
		Eventually(started, "10s").Should(Receive())
		Expect(lossy.Transport.(io.Closer).Close()).To(Succeed())
		Eventually(first, "10s").Should(Receive())
		ctx, cancel := context.WithCancel(background)
		retry := inBackground(func() reply { return report(ctx, client, a, ticket, "7") })
		Eventually(func() int64 { return a.server.Count("ReportsRetried") }, "10s").Should(Equal(int64(1)))
		cancel()
		Eventually(retry, "10s").Should(Receive())
		Eventually(func() int { return a.tickets.Usage().Running }, "10s").Should(BeZero())
	})

	// Guards against running a report twice, the second time by an agent that
	// did not issue the ticket.
	It("reports an unknown outcome when the issuing process has ended", func() {
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		b := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
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

	// Guards against an outcome that is final for the caller although the
	// issuing host is only paused.
	It("allows a retry while the issuer is not a member", func() {
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		b := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		f.setMembers(b)
		got := report(background, client, b, ticket, "7")
		Expect(got.problem.Type).To(Equal(agproblem.OutcomeUnknown))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		f.setMembers(a, b)
		Expect(string(report(background, client, b, ticket, "7").body)).To(Equal("run 1 of 7"))
		Expect(b.journal.Page().Entries).To(BeEmpty())
	})

	// Guards against running a report under a ticket that an earlier process on
	// the same address issued.
	It("reports an unknown outcome after a restart on the same address", func() {
		a := f.add(startBackend(GinkgoTB(), countRuns), func(o *agserve.Options) {
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

	// Guards against running a report again after its backend server failed.
	It("keeps the outcome unknown when the backend server aborts after the run", func() {
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}), nil)
		ticket := requestTicket(client, a)
		for range 2 {
			Expect(report(background, client, a, ticket, "7").problem.Type).To(Equal(agproblem.OutcomeUnknown))
		}
		Expect(runs.Load()).To(Equal(int64(1)))
		Expect(a.journal.Page().Entries).To(HaveLen(1))
	})

	// Guards against a delayed attempt that runs after "not run" was reported.
	It("never runs a report with a ticket that was refused", func() {
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		a.admitter.setRefusal(anvilglade.RefusalSlots)
		got := report(background, client, a, ticket, "7")
		Expect(got.problem.Type).To(Equal(agproblem.NotRun))
		a.admitter.setRefusal(anvilglade.RefusalNone)
		Expect(report(background, client, a, ticket, "7").problem.Type).To(Equal(agproblem.NotRun))
		Expect(runs.Load()).To(BeZero())
		Expect(string(report(background, client, a, requestTicket(client, a), "7").body)).To(Equal("run 1 of 7"))
	})

	// Guards against an unknown outcome when the connection to the backend
	// server was refused, which net/http reports like other failures.
	It("reports not run when the backend server cannot be reached", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		Expect(listener.Close()).To(Succeed())
		a := f.add(address, nil)
		Expect(report(background, client, a, requestTicket(client, a), "7").problem.Type).To(Equal(agproblem.NotRun))
		Expect(call(background, client, a, http.MethodPost, "/reports", nil).problem.Type).To(Equal(agproblem.NotRun))
	})

	// Guards against refusing a retry because its query has another deadline
	// than the first attempt.
	It("accepts a retry with another query", func() {
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		for _, query := range []string{"?deadline=1", "?deadline=2"} {
			got := call(background, client, a, http.MethodPost, "/reports"+query, []byte("7"), agproblem.HeaderTicket, ticket)
			Expect(string(got.body)).To(Equal("run 1 of 7"))
		}
	})

	// Guards against returning the response to one report for another report.
	It("refuses a ticket that was used for another report", func() {
		a := f.add(startBackend(GinkgoTB(), countRuns), nil)
		ticket := requestTicket(client, a)
		Expect(report(background, client, a, ticket, "7").status).To(Equal(http.StatusOK))
		got := report(background, client, a, ticket, "8")
		Expect(got.problem.Type).To(Equal(agproblem.TicketReused))
		Expect(got.problem.NotRun).To(BeFalse())
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	// Guards against losing the result of a report that ran because its
	// response is too large to store.
	It("reports the status of a response that is too large to store", func() {
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2<<20)) }), nil)
		got := report(background, client, a, requestTicket(client, a), "7")
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

	respondWith := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) }
	}

	// Guards against refusing a request while another host has capacity.
	It("offers a report to a host with capacity", func() {
		a := f.add(startBackend(GinkgoTB(), respondWith("a")), nil)
		f.add(startBackend(GinkgoTB(), respondWith("b")), nil)
		a.admitter.setRefusal(anvilglade.RefusalSlots)
		for _, headers := range [][]string{nil, {agproblem.HeaderTicket, requestTicket(client, a)}} {
			got := call(background, client, a, http.MethodPost, "/reports", []byte("x"), headers...)
			Expect(string(got.body)).To(Equal("b"))
		}
	})

	// Guards against a request that is forwarded from host to host when all
	// hosts are full.
	It("offers a request to at most two other hosts, once to each", func() {
		agents := make([]*agent, 5)
		for i := range agents {
			agents[i] = f.add(startBackend(GinkgoTB(), respondWith("x")), nil)
			agents[i].admitter.setRefusal(anvilglade.RefusalSlots)
		}
		got := call(background, client, agents[0], http.MethodPost, "/reports", nil)
		Expect(got.problem.Type).To(Equal(agproblem.NotRun))
		offers := int64(0)
		for _, other := range agents[1:] {
			Expect(other.server.Count("ReceivedFromPeers")).To(BeNumerically("<=", 1))
			offers += other.server.Count("ReceivedFromPeers")
		}
		Expect(offers).To(Equal(int64(2)))
	})

	// Guards against retries that overload a failing service.
	It("retries a failed GET within the budget, and never a POST", func() {
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

	// Guards against accepting requests of callers as those of agents on the
	// control address.
	It("rejects requests on the control address without a certificate", func() {
		a := f.add(startBackend(GinkgoTB(), respondWith("a")), nil)
		control := &agent{address: a.control}
		Expect(call(background, client, control, http.MethodGet, "/", nil, "Anvilglade-Service", string(service)).err).To(HaveOccurred())
		Expect(a.server.Count("ReceivedFromPeers")).To(BeZero())
	})

	// Guards against failing a GET that another host can run.
	It("retries a GET on another host when the backend server aborts it", func() {
		a := f.add(startBackend(GinkgoTB(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), nil)
		f.add(startBackend(GinkgoTB(), respondWith("b")), nil)
		Expect(string(call(background, client, a, http.MethodGet, "/", nil).body)).To(Equal("b"))
	})
})

var _ = Describe("Drain", func() {
	// Guards against a shutdown that aborts requests in progress, or that never
	// completes.
	It("completes requests in progress, refuses new ones and aborts lines at the limit", func() {
		f := newFleet(GinkgoTB())
		client := newClient(GinkgoTB())
		started, unblock := make(chan struct{}, 2), make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			started <- struct{}{}
			if r.URL.Path == "/alerts" {
				_, _ = io.WriteString(w, "first\n")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
				return
			}
			<-unblock
			_, _ = io.WriteString(w, "whole")
		}), nil)
		ticket := requestTicket(client, a)
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
		Eventually(started, "10s").Should(Receive())
		Eventually(started, "10s").Should(Receive())
		limit, abort := context.WithCancel(context.Background())
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
		close(unblock)
		var got reply
		Eventually(answers, "10s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(string(got.body)).To(Equal("whole"))
		Consistently(drained, "300ms").ShouldNot(Receive())
		abort()
		Eventually(drained, "10s").Should(Receive(MatchError(agserve.ErrCutOff)))
		Eventually(line, "10s").Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
	})
})
