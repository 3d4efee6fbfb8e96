package agexplain_test

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade/internal/observe/agexplain"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agexplain")
}

var _ = Describe("Explain", func() {
	read := func(extra string) *agexplain.Log {
		var readers []io.Reader
		for _, name := range []string{"testdata/Agent.log", "testdata/Balancer.log"} {
			file, err := os.Open(name)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(file.Close)
			readers = append(readers, file)
		}
		log, err := agexplain.Read(append(readers, strings.NewReader(extra))...)
		Expect(err).NotTo(HaveOccurred())
		return log
	}

	// Guards against an explanation that shows a reset without its cause. It
	// contains the cause, the state on which the decision was based and the age of
	// that state.
	It("names the cause of a reset and the state at that time", func() {
		explanation := read("").Explain(agexplain.Query{Flow: "100.66.0.10:1049", Margin: time.Second})
		Expect(explanation.Causes).To(Equal([]string{"HeldNowhere at dc3-balancer: no host holds the flow any more: its host has ended or restarted"}))
		var messages []string
		for _, line := range explanation.Lines {
			messages = append(messages, line.Message)
		}
		Expect(messages).To(ContainElements("packet-balancer: Balancer has started.", "packet-balancer: Desired state is in effect.", "packet-balancer: Packet of a caller."))
		Expect(messages).NotTo(ContainElement("packet-balancer: Balancer leaves the rotation."), "it was logged after the margin")
		for i := 1; i < len(explanation.Lines); i++ {
			Expect(explanation.Lines[i].Time).NotTo(BeTemporally("<", explanation.Lines[i-1].Time))
		}
	})

	// Guards against an explanation that looks complete although the log omitted
	// decisions, and against lines of other programs that stop the reader.
	It("counts omitted decisions and skipped lines", func() {
		log := read("no log line\n{\"time\":\"never\"}\n  12.5 dc3-balancer " +
			`{"Decision":"Reset","Omitted":7,"Node":"dc3-balancer","Flow":"100.66.0.10:1049>198.18.0.1:8080","Reason":"AllRefused","msg":"x","time":"2026-01-17T08:06:42.6Z"}` + "\n")
		Expect(log.Skipped).To(Equal(2))
		explanation := log.Explain(agexplain.Query{Flow: "100.66.0.10:1049", Margin: time.Second})
		Expect(explanation.Omitted).To(Equal(map[string]uint64{"dc3-balancer Reset": 7}))
		Expect(explanation.Causes).To(HaveLen(2))
		Expect(log.Explain(agexplain.Query{Flow: "100.66.0.99:1"}).Lines).To(BeEmpty())
	})

	// Guards against an explanation of a refused flow that does not show why its class
	// was refused.
	It("shows the class, the wait and the budget of a refused flow", func() {
		explanation := read(`{"Decision":"Refused","Node":"dc3-agent","Flow":"100.66.0.11:1050>198.18.0.1:8080","Cause":"ExpectedWait","Class":"p2","Wait":"90ms","Budget":"83ms","msg":"x","time":"2026-01-17T08:06:42.6Z"}`).
			Explain(agexplain.Query{Flow: "100.66.0.11:1050"})
		Expect(explanation.Causes).To(ConsistOf(ContainSubstring("attempt budget")))
		Expect(explanation.Events()).To(ContainElement(HaveField("Detail", ContainSubstring("Budget=83ms Class=p2 Wait=90ms"))))
	})

	// Guards against a flow on another service than its weights select without a word why,
	// and against a step that is taken for the cause of a failure.
	It("shows that a flow was shifted and the step behind it", func() {
		log := read(`{"Change":"Split","Reason":"NoUsableHost","Route":"live","Service":"main","Step":4,"Node":"b1","msg":"x","time":"2026-01-17T09:00:00Z"}
{"Decision":"Shifted","Reason":"Placed","Flow":"100.66.0.7:1>198.18.0.1:8080","Service":"spare","ShiftedFrom":"main","ShiftStep":4,"ShiftCause":"NoUsableHost","Node":"b1","msg":"x","time":"2026-01-17T09:00:09Z"}
`)
		explanation := log.Explain(agexplain.Query{Flow: "100.66.0.7:1", Margin: time.Second})
		Expect(explanation.Shifts).To(Equal([]string{"at b1 from main to spare (4 of 64 new flows): the service that the weights select had no usable host"}))
		Expect(explanation.Causes).To(BeEmpty())
		Expect(explanation.Lines).To(HaveLen(2))
	})

	// Guards against an explanation of a placed flow without the times that the chosen
	// host was expected to need.
	It("shows the expected time and the wait of a placed flow", func() {
		log := read(`{"Decision":"Placed","Expected":"31ms","Wait":"12ms","Node":"n","Flow":"100.66.0.9:1>198.18.0.1:80","Reason":"Placed","msg":"x","time":"2026-01-17T08:06:42.6Z"}` + "\n")
		events := log.Explain(agexplain.Query{Flow: "100.66.0.9:1"}).Events()
		Expect(events[len(events)-1].Detail).To(ContainSubstring("Expected=31ms Wait=12ms"))
	})

	// Guards against a query by time that misses the decisions of some processes.
	It("shows the lines of all processes around a point in time", func() {
		at, err := time.Parse(time.RFC3339Nano, "2026-01-17T08:06:42.5Z")
		Expect(err).NotTo(HaveOccurred())
		explanation := read("").Explain(agexplain.Query{At: at, Margin: 100 * time.Millisecond})
		nodes := map[string]bool{}
		for _, line := range explanation.Lines {
			nodes[line.Node] = true
		}
		Expect(nodes).To(HaveLen(2))
	})
})
