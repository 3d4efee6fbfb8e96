package agreplica

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/anvilglade/anvilglade"
)

// TestMain fixes the seed of the model test, so that every run checks the same
// cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agreplica")
}

// Guards against an older version that replaces a newer one, and against digests
// that are equal for replicas with different versions or differ for replicas
// with the same versions.
func TestNewestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := []*Replica{NewReplica(), NewReplica()}
		newest := []map[string]anvilglade.Version{{}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := rapid.IntRange(0, 1).Draw(t, "replica")
			name := fmt.Sprintf("host-%d", rapid.IntRange(0, 5).Draw(t, "name"))
			version := anvilglade.Version(rapid.IntRange(1, 8).Draw(t, "version"))
			adopted := replicas[at].Put(anvilglade.Record{Kind: anvilglade.RecordHost, Name: name, Version: version})
			if adopted != (version > newest[at][name]) {
				t.Fatalf("put of version %d over %d returned %t", version, newest[at][name], adopted)
			}
			newest[at][name] = max(newest[at][name], version)
			equal := fmt.Sprint(newest[0]) == fmt.Sprint(newest[1])
			first, second := replicas[0].digest(), replicas[1].digest()
			if (first.root() == second.root()) != equal {
				t.Fatalf("equality of the digests is %t for versions %v and %v", !equal, newest[0], newest[1])
			}
		}
	})
}

// FuzzMessage guards against a peer's message that crashes the decoder or has a
// shard out of range.
func FuzzMessage(f *testing.F) {
	f.Add([]byte{0xa1, 0x65, 'H', 'e', 'l', 'l', 'o', 0xa0})
	f.Add([]byte{0xa1, 0x64, 'R', 'o', 'o', 't', 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := parseMessage(data)
		if err == nil && msg.Versions != nil && msg.Versions.Shard >= shardCount {
			t.Fatalf("shard %d was accepted", msg.Versions.Shard)
		}
	})
}
