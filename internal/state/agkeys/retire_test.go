package agkeys_test

import (
	"slices"
	"testing"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// Guards against a rotation that ends open connections by retiring the key under
// which their connection ids are encrypted. The scenario KeyRotation lost all of
// its 200 alert lines in this way.
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
		var remaining []anvilglade.KeyID
		if bundle, remaining, err = agkeys.RetireUnused(bundle, agkeys.SetAll, map[anvilglade.KeyID]int{first: 200}); err != nil {
			t.Fatalf("round %d: retire: %v", round, err)
		}
		if !slices.Equal(remaining, []anvilglade.KeyID{first}) {
			t.Fatalf("round %d: keys %v remain Previous, want %d", round, remaining, first)
		}
		if err := agkeys.Validate(bundle); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if count(bundle.Datagram, anvilglade.KeyPrevious) != 0 || count(bundle.ConnectionID, anvilglade.KeyPrevious) != 1 {
			t.Fatalf("round %d: wrong number of Previous keys: %v %v", round, bundle.Datagram, bundle.ConnectionID)
		}
	}
	bundle, remaining, err := agkeys.RetireUnused(bundle, agkeys.SetConnectionID, nil)
	if err != nil || len(remaining) > 0 || count(bundle.ConnectionID, anvilglade.KeyPrevious) != 0 {
		t.Fatalf("after the connections ended: keys %v remain Previous, error %v", remaining, err)
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
