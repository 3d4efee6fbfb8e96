package agapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
)

func TestStandIn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agapi")
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

var _ = Describe("Server", func() {
	var (
		clock  *fakeClock
		server *Server
	)

	call := func(method, path, body string, headers ...string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		for _, header := range headers {
			name, value, _ := strings.Cut(header, ": ")
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		return recorder
	}

	BeforeEach(func() {
		clock = &fakeClock{now: time.Unix(1_000_000, 0)}
		server = NewServer(Options{Clock: clock})
		Expect(call("POST", "/objects/A", `{"meta":{"name":"b"},"spec":"one"}`).Code).To(Equal(http.StatusCreated))
	})

	// Guards against faults that start or end at the wrong time.
	It("activates and ends faults at the times of the script", func() {
		script := `{"Seed":1,"Steps":[{"After":"2s","Faults":{"Outage":true}},{"After":"5s","Faults":{"WriteOutage":true}},{"After":"8s"}]}`
		Expect(call("POST", "/control", script).Code).To(Equal(http.StatusNoContent))
		for _, at := range []struct{ wait, read, write int }{{0, 200, 409}, {2, 503, 503}, {3, 200, 503}, {3, 200, 409}} {
			clock.now = clock.now.Add(time.Duration(at.wait) * time.Second)
			Expect(call("GET", "/objects/A/b", "").Code).To(Equal(at.read))
			Expect(call("POST", "/objects/A", `{"meta":{"name":"b"},"spec":"two"}`).Code).To(Equal(at.write))
		}
	})

	// Guards against stale answers that never were the state of the object, and
	// against stale answers to other clients.
	It("returns old state to the clients with stale tokens only", func() {
		clock.now = clock.now.Add(20 * time.Second)
		Expect(call("PUT", "/objects/A/b", `{"meta":{"name":"b","revision":1},"spec":"two"}`).Code).To(Equal(http.StatusOK))
		Expect(server.Play(Script{Steps: []Step{{Faults: Faults{StaleBy: anvilglade.Duration(10 * time.Second), StaleTokens: []string{"old"}}}}})).To(Succeed())
		Expect(call("GET", "/objects/A/b", "").Body.String()).To(ContainSubstring(`"spec":"two"`))
		Expect(call("GET", "/objects/A/b", "", "Authorization: Bearer old").Body.String()).To(ContainSubstring(`"spec":"one"`))
		clock.now = clock.now.Add(10 * time.Second)
		Expect(call("GET", "/objects/A/b", "", "Authorization: Bearer old").Body.String()).To(ContainSubstring(`"spec":"two"`))
	})

	// Guards against a misspelt script that is accepted and has no effect.
	It("rejects invalid scripts and writes to another revision", func() {
		for _, script := range []string{`{"Step":[]}`, `{"Steps":[{"Faults":{"LostAnswers":2}}]}`, `{"Steps":[{"After":"2s"},{"After":"1s"}]}`} {
			Expect(call("POST", "/control", script).Code).To(Equal(http.StatusBadRequest), script)
		}
		Expect(call("PUT", "/objects/A/b", `{"meta":{"name":"b","revision":7},"spec":"x"}`).Code).To(Equal(http.StatusConflict))
		Expect(call("PUT", "/objects/A/c", `{"meta":{"name":"c"},"spec":"x"}`).Code).To(Equal(http.StatusNotFound))
		Expect(call("PUT", "/objects/A/b", "x").Code).To(Equal(http.StatusBadRequest))
	})
})
