package aglog_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/anvilglade/anvilglade/internal/observe/aglog"
)

// TestWriterNeverBlocks guards against a process that blocks because its standard
// output is not read.
func TestWriterNeverBlocks(t *testing.T) {
	unblock := make(chan struct{})
	writer := aglog.NewAsyncWriter(blockedWriter{unblock})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	started := time.AfterFunc(0, func() { done <- writer.Run(ctx) })
	defer started.Stop()
	for i := range 100_000 {
		if _, err := fmt.Fprintf(writer, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	close(unblock)
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

type blockedWriter struct{ unblocked chan struct{} }

func (w blockedWriter) Write(data []byte) (int, error) {
	<-w.unblocked
	return len(data), nil
}

// TestWriterFlushesLateLines guards against the loss of the line with the reason
// why a process stops. It is logged after Run has returned (soak seed 118: a
// balancer stopped and its log had no reason).
func TestWriterFlushesLateLines(t *testing.T) {
	var out bytes.Buffer
	writer := aglog.NewAsyncWriter(&out)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := writer.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	if _, err := writer.Write([]byte("late\n")); err != nil {
		t.Error(err)
	}
	writer.Flush()
	if out.String() != "late\n" {
		t.Errorf("output after Flush is %q, want the late line", out.String())
	}
}

// TestWriterReportsDroppedLines guards against dropped lines that are not counted
// in the log.
func TestWriterReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	writer := aglog.NewAsyncWriterWithClock(&out, steppingClock(10*time.Millisecond))
	for range 1500 {
		if _, err := writer.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := writer.Run(ctx); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	if !bytes.Contains(out.Bytes(), []byte(`"Dropped":476`)) || bytes.Count(out.Bytes(), []byte("{}\n")) != 1024 {
		t.Errorf("%d lines, want 1,024 and a count of 476 dropped lines: %s", bytes.Count(out.Bytes(), []byte("\n")), out.Bytes()[:200])
	}
}

// steppingClock returns a clock that advances by a step at each call.
func steppingClock(step time.Duration) func() time.Time {
	now := time.Unix(1_000_000, 0)
	return func() time.Time {
		now = now.Add(step)
		return now
	}
}

// TestWriterBoundsLinesOfASecond guards against a log whose volume grows with a
// fault whose lines have no limit of their own, such as unreadable objects in the
// store.
func TestWriterBoundsLinesOfASecond(t *testing.T) {
	var out bytes.Buffer
	writer := aglog.NewAsyncWriterWithClock(&out, steppingClock(time.Millisecond))
	for range 3000 {
		if _, err := writer.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	writer.Flush()
	lines, dropped := bytes.Count(out.Bytes(), []byte("{}\n")), bytes.Count(out.Bytes(), []byte("Dropped"))
	// 3,000 lines in steps of 1 ms fall into four seconds of the clock.
	if lines+dropped > 4*200 || lines == 0 || dropped == 0 {
		t.Errorf("%d lines and %d counts of dropped lines, want both and at most 800 together", lines, dropped)
	}
}
