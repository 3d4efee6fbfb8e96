package aglog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// writerLines is the number of lines that wait for a slow reader.
const writerLines = 1024

// AsyncWriter passes log lines on without ever blocking the one that logs. When
// the reader of the output is too slow, lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer; Run passes the lines on.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, writerLines)}
}

// Write takes one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case w.lines <- own:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run passes lines on until the context ends, and then those that still wait.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-ctx.Done():
			w.Flush()
			return ctx.Err()
		}
	}
}

// Flush passes on the lines that wait. Run must have ended.
func (w *AsyncWriter) Flush() {
	for len(w.lines) > 0 {
		w.pass(<-w.lines)
	}
}

// pass writes one line and tells of those that were dropped before it. The log
// has no place for its own failures.
func (w *AsyncWriter) pass(line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log: Lines were dropped because their reader is slow.\",\"Dropped\":%d}\n", dropped)
	}
	_, _ = w.out.Write(line)
}
