package integration

import (
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade/internal/stand/agemulator"
)

var _ = Describe("Packet services", func() {
	// Guards against parts that work alone and not together on the users'
	// platform. Each scenario plays real processes; the checks count broken
	// promises, and answers against a share that no machine is too slow for.
	DescribeTable("keep their promises", func(ctx SpecContext, name string, minServed float64) {
		dir := GinkgoT().TempDir()
		program := filepath.Join(dir, "anvilglade")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/anvilglade/anvilglade/cmd/anvilglade")
		output, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		scenario, err := agemulator.ReadScenario(filepath.Join("..", "packets", name+".yaml"))
		Expect(err).NotTo(HaveOccurred())
		report, err := agemulator.Run(ctx, agemulator.Options{Anvilglade: program, Scenario: scenario, Seed: 1, Dir: dir})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.WriteTable(GinkgoWriter)).To(Succeed())
		Expect(report.Notes).To(BeEmpty())
		Expect(report.BrokenPromises()).To(BeZero())
		Expect(report.Served()).To(BeNumerically(">=", minServed))
	},
		Entry("on a calm day with planned work", "CalmDay", 0.995),
		Entry("through troubles that overlap", "Troubles", 0.9),
	)
})
