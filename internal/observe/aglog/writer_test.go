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

// Guards against a process that stops because nobody reads its standard output.
func TestWriterNeverBlocks(t *testing.T) {
	stuck := make(chan struct{})
	writer := aglog.NewAsyncWriter(blockedWriter{stuck})
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
	close(stuck)
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

type blockedWriter struct{ until chan struct{} }

func (w blockedWriter) Write(data []byte) (int, error) {
	<-w.until
	return len(data), nil
}

// Guards against the line that says why a process has stopped, which comes after
// the task that passes lines on has ended (soak seed 118: a balancer ended and
// its log did not say why).
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
		t.Errorf("%q", out.String())
	}
}

// Guards against lines that are lost without a trace.
func TestWriterTellsOfDroppedLines(t *testing.T) {
	var out bytes.Buffer
	writer := aglog.NewAsyncWriterWithClock(&out, ticking(10*time.Millisecond))
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
		t.Errorf("%d lines: %s", bytes.Count(out.Bytes(), []byte("\n")), out.Bytes()[:200])
	}
}

// ticking returns a clock that goes on by a step with each reading.
func ticking(step time.Duration) func() time.Time {
	now := time.Unix(1_000_000, 0)
	return func() time.Time {
		now = now.Add(step)
		return now
	}
}

// Guards against a log that grows with a trouble whose lines have no budget of
// their own, such as unreadable objects in the store.
func TestWriterBoundsLinesOfASecond(t *testing.T) {
	var out bytes.Buffer
	writer := aglog.NewAsyncWriterWithClock(&out, ticking(time.Millisecond))
	for range 3000 {
		if _, err := writer.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	writer.Flush()
	lines, dropped := bytes.Count(out.Bytes(), []byte("{}\n")), bytes.Count(out.Bytes(), []byte("Dropped"))
	// 3,000 lines in steps of 1 ms lie in four seconds by the clock.
	if lines+dropped > 4*200 || lines == 0 || dropped == 0 {
		t.Errorf("%d lines and %d counts of dropped ones", lines, dropped)
	}
}
