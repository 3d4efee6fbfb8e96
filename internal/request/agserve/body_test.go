package agserve

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

// TestBodyOfUnknownLengthReservesReceivedBytes guards against reserving the
// maximum body size for each request of unknown length, such as every GET over
// HTTP/3. Nine such requests in progress would exceed the memory limit, and
// further ones would be refused.
func TestBodyOfUnknownLengthReservesReceivedBytes(t *testing.T) {
	s := &Server{options: Options{MaxBody: 1 << 20, MaxBuffered: 2 << 20}}
	read := func(text string) error {
		r, err := http.NewRequest(http.MethodPost, "https://alerts/", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		r.ContentLength = -1
		_, _, err = s.readBody(r)
		return err
	}
	for i := range 100 {
		if err := read("small"); err != nil {
			t.Fatalf("request %d of 100 in progress: %v", i, err)
		}
	}
	if err := read(strings.Repeat("x", 1<<20+1)); !errors.Is(err, errTooLarge) {
		t.Fatalf("a body above the limit: got %v", err)
	}
	if err := read(strings.Repeat("x", 1<<20)); err != nil {
		t.Fatalf("a body at the limit: %v", err)
	}
	if err := read(strings.Repeat("x", 1<<20)); !errors.Is(err, errBuffersFull) {
		t.Fatalf("a body above the memory for all bodies: got %v", err)
	}
	if reserved := s.bufferedBodies.Load(); reserved != 1<<20+500 {
		t.Fatalf("refused bodies occupy memory: %d bytes are reserved", reserved)
	}
}
