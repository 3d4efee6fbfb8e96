package agkeys_test

import (
	"slices"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// Guards against a rotation that ends open connections: their packets carry ids
// under the former key, and KeyRotation lost all 200 alert lines by it.
func TestRetireKeepsConnectionKeysInUse(t *testing.T) {
	bundle := agkeys.NewBundle()
	first := bundle.ConnectionID[0].ID
	for round := range 3 {
		var err error
		if bundle, err = agkeys.AddNext(bundle, agkeys.SetAll); err != nil {
			t.Fatalf("round %d: add: %v", round, err)
		}
		if bundle, err = agkeys.Promote(bundle, agkeys.SetAll); err != nil {
			t.Fatalf("round %d: promote: %v", round, err)
		}
		var kept []anvilglade.KeyID
		if bundle, kept, err = agkeys.RetireUnused(bundle, agkeys.SetAll, map[anvilglade.KeyID]int{first: 200}); err != nil {
			t.Fatalf("round %d: retire: %v", round, err)
		}
		if !slices.Equal(kept, []anvilglade.KeyID{first}) {
			t.Fatalf("round %d: keys %v stay, expected %d", round, kept, first)
		}
		if err := agkeys.Validate(bundle); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if count(bundle.Datagram, anvilglade.KeyPrevious) != 0 || count(bundle.ConnectionID, anvilglade.KeyPrevious) != 1 {
			t.Fatalf("round %d: %v %v", round, bundle.Datagram, bundle.ConnectionID)
		}
	}
	bundle, kept, err := agkeys.RetireUnused(bundle, agkeys.SetConnectionID, nil)
	if err != nil || len(kept) > 0 || count(bundle.ConnectionID, anvilglade.KeyPrevious) != 0 {
		t.Fatalf("after the connections ended: kept %v, error %v", kept, err)
	}
}

func count(keys []anvilglade.Key, state anvilglade.KeyState) int {
	found := 0
	for _, key := range keys {
		if key.State == state {
			found++
		}
	}
	return found
}
