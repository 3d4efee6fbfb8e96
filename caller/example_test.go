package caller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/anvilglade/anvilglade"
)

func ExampleClient_Report() {
	s := startService(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "recorded %s", body)
	})
	defer s.close()
	answer, err := s.client.Report(context.Background(), "/reports", "text/plain", []byte("job 7"))
	switch {
	case errors.Is(err, anvilglade.ErrUnknownOutcome):
		fmt.Println("may have run, do not send again:", err)
	case errors.Is(err, anvilglade.ErrNotRun):
		fmt.Println("did not run, may be sent again:", err)
	case err != nil:
		fmt.Println(err)
	default:
		fmt.Println(answer.Status, string(answer.Body))
	}
	// Output: 200 recorded job 7
}

func ExampleClient_Get() {
	s := startService(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "page for %s", r.URL.Query().Get("tool"))
	})
	defer s.close()
	answer, err := s.client.Get(context.Background(), "/guide?tool=saw")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer.Status, string(answer.Body))
	// Output: 200 page for saw
}

// The alert line is opened again when the service ends it.
func ExampleClient_Line() {
	var opened atomic.Int64
	s := startService(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "alert %d\n", opened.Add(1))
	})
	defer s.close()
	enough := errors.New("enough")
	err := s.client.Line(context.Background(), "/alerts", func(line []byte) error {
		fmt.Println(string(line))
		if opened.Load() == 2 {
			return enough
		}
		return nil
	})
	fmt.Println(err)
	// Output:
	// alert 1
	// alert 2
	// enough
}
