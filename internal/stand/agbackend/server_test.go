package agbackend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
	"github.com/anvilglade/anvilglade/internal/stand/agbackend"
)

// answerLimit is the time limit of requests that are answered, however slow the machine is.
const answerLimit = 30 * time.Second

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agbackend")
}

const base = "http://127.250.20.1:9001"

var _ = Describe("Server", func() {
	start := func(options agbackend.Options) {
		options.Host = "dk1-alerts-01"
		options.Services = []agbackend.Service{{Name: "alerts", Address: netip.MustParseAddrPort("127.250.20.1:9001")}}
		group, stop, err := agtask.NewGroup(context.Background())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		Expect(group.Start("server", agbackend.NewServer(options).Run)).To(Succeed())
		Eventually(func() error {
			response, err := http.Get(base + "/health")
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}).Should(Succeed())
	}

	journal := func() agbackend.Journal {
		response, err := http.Get(base + "/journal")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		var found agbackend.Journal
		Expect(json.NewDecoder(response.Body).Decode(&found)).To(Succeed())
		return found
	}

	// parallel sends concurrent requests and returns their statuses, 0 for a
	// request without an answer.
	parallel := func(count int, target string, limit time.Duration) []int {
		group, stop, err := agtask.NewGroup(context.Background())
		Expect(err).NotTo(HaveOccurred())
		defer stop()
		statuses := make([]int, count)
		for i := range count {
			Expect(group.Start("request", func(context.Context) error {
				client := http.Client{Timeout: limit}
				response, err := client.Get(target)
				if err == nil {
					statuses[i] = response.StatusCode
					_ = response.Body.Close()
				}
				return nil
			})).To(Succeed())
		}
		Expect(group.Wait()).To(Succeed())
		return statuses
	}

	control := func(text string) {
		response, err := http.Post(base+"/control", "application/json", strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}

	// Guards against a test double that withstands any load, with which a test of
	// cold starts could never fail.
	It("becomes unresponsive if it is cold and gets more requests than it can handle, and records it", func() {
		start(agbackend.Options{Slots: 4, ServiceTime: 200 * time.Millisecond, ColdInitial: 1, ColdStep: 2, FellOverFor: time.Second})
		statuses := parallel(3, base+"/echo?size=1", 500*time.Millisecond)
		Expect(statuses).To(ContainElement(0))
		Expect(journal().FellOver).To(HaveLen(1))
	})

	// Guards against a cold server that never warms up or is warm at once.
	It("raises the limit of a cold server after each completed step", func() {
		start(agbackend.Options{Slots: 2, ServiceTime: time.Millisecond, ColdInitial: 1, ColdStep: 2, FellOverFor: time.Second})
		for range 2 {
			Expect(parallel(1, base+"/echo?size=1", answerLimit)).To(Equal([]int{http.StatusOK}))
		}
		Expect(parallel(2, base+"/echo?size=1&work=100ms", answerLimit)).To(Equal([]int{http.StatusOK, http.StatusOK}))
		Expect(journal().FellOver).To(BeEmpty())
	})

	// Guards against a shed request that is counted as run.
	It("sheds requests above its slots and lists them as not run", func() {
		start(agbackend.Options{Slots: 1, ServiceTime: 200 * time.Millisecond})
		Expect(parallel(2, base+"/echo?size=1", answerLimit)).To(ConsistOf(http.StatusOK, http.StatusServiceUnavailable))
		ran := 0
		for _, entry := range journal().Entries {
			if entry.Ran {
				ran++
			}
		}
		Expect(ran).To(Equal(1))
	})

	// Guards against requests that keep running after their deadline.
	It("ends a request at its deadline", func() {
		start(agbackend.Options{Slots: 1, ServiceTime: time.Minute})
		request, err := http.NewRequest(http.MethodPost, base+"/reports", strings.NewReader("r-1 brakes"))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(agbackend.HeaderTimeout, "20")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(journal().Entries[0]).To(HaveField("Outcome", agbackend.OutcomeTimedOut))
		Expect(journal().Entries[0]).To(HaveField("Report", "r-1"))
	})

	// Guards against a truncated answer that a client cannot distinguish from a
	// complete one.
	It("truncates answers and reports a wrong health on request", func() {
		start(agbackend.Options{Slots: 1, ServiceTime: time.Millisecond})
		control(`{"TruncatedShare": 1, "Health": "down"}`)
		response, err := http.Get(base + "/echo?size=1000&seed=a")
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(response.Body.Close()).To(Succeed())
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(len(body)).To(BeNumerically("<", 1000))
		control(`{"TruncatedShare": 0}`)
		response, err = http.Get(base + "/echo?size=1000&seed=a")
		Expect(err).NotTo(HaveOccurred())
		body, err = io.ReadAll(response.Body)
		Expect(response.Body.Close()).To(Succeed())
		Expect(err).NotTo(HaveOccurred())
		expected, err := io.ReadAll(agbackend.NewBody("a", 1000))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(body, expected)).To(BeTrue())
		response, err = http.Get(base + "/health")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})
})
