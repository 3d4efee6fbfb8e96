package agserve_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/request/agproblem"
	"github.com/anvilglade/anvilglade/internal/request/agserve"
)

type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (m *manualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manualClock) advance(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(by)
}

var _ = Describe("Server", func() {
	var f *fleet
	var client *http.Client

	BeforeEach(func() {
		f = newFleet(GinkgoTB())
		client = newClient(GinkgoTB())
	})

	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL, body)
	}

	// Guards against losing the method, the query or the body of a request.
	It("forwards a GET and a POST to the backend server", func() {
		a := f.add(startBackend(GinkgoTB(), echo), nil)
		got := call(context.Background(), client, a, http.MethodGet, "/echo?size=3", nil)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(string(got.body)).To(Equal("GET /echo?size=3 "))
		got = call(context.Background(), client, a, http.MethodPost, "/reports", []byte("done"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(string(got.body)).To(Equal("POST /reports done"))
		Expect(got.header.Get(agproblem.HeaderRepeat)).To(Equal("Never"))
		Expect(a.admitter.ended()).To(Equal([]anvilglade.Outcome{anvilglade.OutcomeAnswered, anvilglade.OutcomeAnswered}))
	})

	// Guards against reserving memory for bodies that are not sent: over HTTP/3
	// a GET without a body has no announced length.
	It("reserves no memory for a request without a body", func() {
		a := f.add(startBackend(GinkgoTB(), echo), func(o *agserve.Options) { o.MaxBuffered = 4 })
		request, err := http.NewRequest(http.MethodGet, "https://"+a.address.String()+"/", nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := client.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		got := call(context.Background(), client, a, http.MethodPost, "/", []byte("12345"))
		Expect(got.problem.Type).To(Equal(agproblem.NotRun))
		for range 3 {
			Expect(call(context.Background(), client, a, http.MethodPost, "/", []byte("1234")).status).To(Equal(http.StatusOK))
		}
	})

	// Guards against running a request that was refused, and against a refusal
	// without the headers that mark it as not run.
	It("refuses without running when the host has no capacity", func() {
		ran := false
		a := f.add(startBackend(GinkgoTB(), func(http.ResponseWriter, *http.Request) { ran = true }), nil)
		a.admitter.setRefusal(anvilglade.RefusalSlots)
		got := call(context.Background(), client, a, http.MethodPost, "/reports", []byte("done"))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.problem.Type).To(Equal(agproblem.NotRun))
		Expect(got.header.Get(agproblem.HeaderNotRun)).To(Equal("true"))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		Expect(ran).To(BeFalse())
	})

	// Guards against a deadline or a reset that does not end the request at the
	// backend server, and against relaying a response after the deadline.
	DescribeTable("cancels the request at the backend server", func(cancelByCaller bool, outcome anvilglade.Outcome, counter string) {
		started, ended := make(chan string, 1), make(chan struct{})
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, r *http.Request) {
			// net/http detects a closed connection only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			started <- r.Header.Get(agproblem.HeaderTimeout)
			<-r.Context().Done()
			_, _ = io.WriteString(w, "late")
			close(ended)
		}), nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		timeout := "300"
		if cancelByCaller {
			timeout = "60000"
		}
		answered := make(chan reply, 1)
		Expect(f.group.Start("caller", func(context.Context) error {
			answered <- call(ctx, client, a, http.MethodPost, "/reports", []byte("x"), agproblem.HeaderTimeout, timeout)
			return nil
		})).To(Succeed())
		var timeoutHeader string
		Eventually(started, "10s").Should(Receive(&timeoutHeader))
		Expect(timeoutHeader).NotTo(BeEmpty())
		if cancelByCaller {
			cancel()
		}
		Eventually(ended, "10s").Should(BeClosed())
		var got reply
		Eventually(answered, "10s").Should(Receive(&got))
		if cancelByCaller {
			Expect(got.err).To(HaveOccurred())
		} else {
			Expect(got.problem.Type).To(Equal(agproblem.OutcomeUnknown))
		}
		Eventually(a.admitter.ended).Should(Equal([]anvilglade.Outcome{outcome}))
		Expect(a.server.Count(counter)).To(Equal(int64(1)))
		Eventually(func() int { return len(a.journal.Page().Entries) }).Should(Equal(1))
	},
		Entry("at the deadline", false, anvilglade.OutcomeTimedOut, "DroppedLate"),
		Entry("when the caller resets the stream", true, anvilglade.OutcomeCanceled, "DroppedCanceled"),
	)

	// Guards against running requests whose response would arrive after the
	// deadline.
	It("refuses a request that cannot complete within its deadline", func() {
		clock := &manualClock{now: time.Now()}
		var ran atomic.Int64
		a := f.add(startBackend(GinkgoTB(), func(http.ResponseWriter, *http.Request) {
			ran.Add(1)
			clock.advance(2 * time.Second)
		}), func(o *agserve.Options) { o.Clock = clock })
		for range 130 {
			Expect(call(context.Background(), client, a, http.MethodGet, "/", nil).status).To(Equal(http.StatusOK))
		}
		got := call(context.Background(), client, a, http.MethodGet, "/", nil, agproblem.HeaderTimeout, "1500")
		Expect(got.problem.Type).To(Equal(agproblem.DeadlineTooShort))
		Expect(ran.Load()).To(Equal(int64(130)))
		got = call(context.Background(), client, a, http.MethodGet, "/", nil, agproblem.HeaderTimeout, "2500")
		Expect(got.status).To(Equal(http.StatusOK))
	})

	// Guards against an agent that sends a request after its deadline because
	// the process was paused after admission.
	It("refuses a request whose deadline passed during a pause", func() {
		clock := &manualClock{now: time.Now()}
		var ran atomic.Int64
		a := f.add(startBackend(GinkgoTB(), func(http.ResponseWriter, *http.Request) { ran.Add(1) }), func(o *agserve.Options) { o.Clock = clock })
		a.admitter.setOnStart(func() { clock.advance(20 * time.Second) })
		got := call(context.Background(), client, a, http.MethodPost, "/reports", nil, agproblem.HeaderTimeout, "10000")
		Expect(got.problem.Type).To(Equal(agproblem.DeadlineTooShort))
		Expect(got.problem.NotRun).To(BeTrue())
		Expect(ran.Load()).To(BeZero())
	})

	// Guards against alert lines that are buffered, that occupy a slot, or that
	// end at the default deadline.
	It("relays an alert line without delay and without a slot", func() {
		next := make(chan string)
		a := f.add(startBackend(GinkgoTB(), func(w http.ResponseWriter, r *http.Request) {
			for {
				select {
				case text := <-next:
					_, _ = io.WriteString(w, text)
					w.(http.Flusher).Flush()
				case <-r.Context().Done():
					return
				}
			}
		}), func(o *agserve.Options) { o.LineSlotTime = time.Millisecond; o.Timeout = 100 * time.Millisecond })
		request, err := http.NewRequest(http.MethodGet, "https://"+a.address.String()+"/alerts", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.group.Start("first", func(context.Context) error { next <- "1"; return nil })).To(Succeed())
		response, err := client.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		read := func() string {
			buffer := make([]byte, 1)
			_, err := io.ReadFull(response.Body, buffer)
			Expect(err).NotTo(HaveOccurred())
			return string(buffer)
		}
		Expect(read()).To(Equal("1"))
		Eventually(a.admitter.slotsInUse).Should(BeZero())
		// Longer than the default deadline, which must not end the line.
		time.Sleep(200 * time.Millisecond)
		next <- "2"
		Expect(read()).To(Equal("2"))
	})

	// Guards against accepting more connections than the host's limit.
	It("refuses connections over the limit", func() {
		a := f.add(startBackend(GinkgoTB(), echo), func(o *agserve.Options) { o.AdmitConnections = true })
		a.admitter.setRefusal(anvilglade.RefusalConnections)
		Expect(call(context.Background(), client, a, http.MethodGet, "/", nil).err).To(HaveOccurred())
		a.admitter.setRefusal(anvilglade.RefusalNone)
		Expect(call(context.Background(), newClient(GinkgoTB()), a, http.MethodGet, "/", nil).status).To(Equal(http.StatusOK))
		Expect(a.server.Count("ConnectionsRefused")).To(BeNumerically(">=", 1))
	})

	DescribeTable("refuses malformed requests", func(status int, kind agproblem.Type, body []byte, headers ...string) {
		a := f.add(startBackend(GinkgoTB(), echo), func(o *agserve.Options) { o.MaxBody = 10 })
		got := call(context.Background(), client, a, http.MethodPost, "/", body, headers...)
		Expect(got.status).To(Equal(status))
		Expect(got.problem.Type).To(Equal(kind))
		Expect(a.admitter.ended()).To(BeEmpty())
	},
		Entry("timeout of 0", http.StatusBadRequest, agproblem.BadRequest, nil, agproblem.HeaderTimeout, "0"),
		Entry("timeout that is not a number", http.StatusBadRequest, agproblem.BadRequest, nil, agproblem.HeaderTimeout, "1s"),
		Entry("body too large", http.StatusRequestEntityTooLarge, agproblem.TooLarge, []byte("12345678901")),
		Entry("key that is not a ticket", http.StatusBadRequest, agproblem.TicketInvalid, nil, agproblem.HeaderTicket, "abc"),
	)
})
