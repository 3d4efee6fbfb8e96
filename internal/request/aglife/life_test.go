package aglife_test

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"go.yaml.in/yaml/v3"

	"github.com/anvilglade/anvilglade/internal/request/aglife"
)

type lifeCase struct {
	Name   string         `yaml:"Name"`
	Events []aglife.Event `yaml:"Events"`
	State  aglife.State   `yaml:"State"`
	// Fails is true if the last event must be rejected.
	Fails bool `yaml:"Fails"`
}

// TestLife guards against a transition table that allows NotRun for a request that
// may have run.
func TestLife(t *testing.T) {
	data, err := os.ReadFile("testdata/lives.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var cases []lifeCase
	NewWithT(t).Expect(yaml.Unmarshal(data, &cases)).To(Succeed())
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := NewWithT(t)
			lifecycle := aglife.New()
			defer lifecycle.Release()
			for i, event := range c.Events {
				err := lifecycle.Do(event)
				g.Expect(err != nil).To(Equal(c.Fails && i == len(c.Events)-1), "%s: %v", event, err)
			}
			g.Expect(lifecycle.State()).To(Equal(c.State))
		})
	}
}
