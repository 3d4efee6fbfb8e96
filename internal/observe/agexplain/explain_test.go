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

	// Guards against an engineer who sees a reset and not why: the cause, the
	// state that the decision rested on and its age are in the story.
	It("names the cause of a reset and the state at that time", func() {
		story := read("").Explain(agexplain.Query{Flow: "100.66.0.10:1049", Margin: time.Second})
		Expect(story.Causes).To(Equal([]string{"HeldNowhere at dc3-balancer: no host holds the flow any more: its host has ended or restarted"}))
		var messages []string
		for _, line := range story.Lines {
			messages = append(messages, line.Message)
		}
		Expect(messages).To(ContainElements("packet-balancer: Balancer has started.", "packet-balancer: Desired state is in effect.", "packet-balancer: Packet of a caller."))
		Expect(messages).NotTo(ContainElement("packet-balancer: Balancer leaves the rotation."), "it came after the margin")
		for i := 1; i < len(story.Lines); i++ {
			Expect(story.Lines[i].Time).NotTo(BeTemporally("<", story.Lines[i-1].Time))
		}
	})

	// Guards against a story that looks complete although the log left out
	// decisions, and against foreign lines that end the reading.
	It("tells what the logs lack", func() {
		log := read("no log line\n{\"time\":\"never\"}\n  12.5 dc3-balancer " +
			`{"Decision":"Reset","Omitted":7,"Node":"dc3-balancer","Flow":"100.66.0.10:1049>198.18.0.1:8080","Reason":"AllRefused","msg":"x","time":"2026-01-17T08:06:42.6Z"}` + "\n")
		Expect(log.Skipped).To(Equal(2))
		story := log.Explain(agexplain.Query{Flow: "100.66.0.10:1049", Margin: time.Second})
		Expect(story.Omitted).To(Equal(map[string]uint64{"dc3-balancer Reset": 7}))
		Expect(story.Causes).To(HaveLen(2))
		Expect(log.Explain(agexplain.Query{Flow: "100.66.0.99:1"}).Lines).To(BeEmpty())
	})

	// Guards against a moment whose decisions of all processes are missed.
	It("shows a moment across processes", func() {
		at, err := time.Parse(time.RFC3339Nano, "2026-01-17T08:06:42.5Z")
		Expect(err).NotTo(HaveOccurred())
		story := read("").Explain(agexplain.Query{At: at, Margin: 100 * time.Millisecond})
		nodes := map[string]bool{}
		for _, line := range story.Lines {
			nodes[line.Node] = true
		}
		Expect(nodes).To(HaveLen(2))
	})
})
