package agscenario

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestScenario(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agscenario")
}

var _ = Describe("readScript", func() {
	// Guards against a case that is read only in part: skipping an invalid line
	// could leave out the fault that the case tests.
	It("reports every invalid line with its file, its number and what was expected", func() {
		_, err := readScript(filepath.Join("testdata", "wrong.txt"))
		Expect(err).To(MatchError(And(
			ContainSubstring("wrong.txt:3: explode balancer b1: unknown verb, expected one of: api, backend"),
			ContainSubstring(`wrong.txt:4: wait soon: time is "soon", expected a duration such as 500ms or 10s, expected: wait <time:duration>`),
			ContainSubstring(`wrong.txt:5: expect BrokenFlows 0: op is "0", expected one of = <= >= < >`),
			ContainSubstring(`wrong.txt:6: fault x from a to b loss 300%: loss is "300%", expected a share such as 10%`),
			ContainSubstring(`wrong.txt:7: fault x from a to b lost 3%: "lost" is not an option`),
		)))
	})

	// Guards against committed cases that no longer parse or that use a measure
	// that does not exist. Without this test they would fail only in a full run.
	It("reads every committed case", func() {
		jobs, err := readCases(MeasureOptions{Cases: filepath.Join("..", "..", "..", "test", "cases")})
		Expect(err).NotTo(HaveOccurred())
		for _, item := range jobs {
			expects := 0
			for _, step := range item.steps {
				if step.values["measure"] != "" {
					Expect(measures).To(HaveKey(step.values["measure"]), item.name)
					expects++
				}
			}
			Expect(expects).To(BeNumerically(">", 0), item.name)
		}
	})
})
