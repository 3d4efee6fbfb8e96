package aglog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writerLines is the number of lines that wait for a slow reader.
	writerLines = 1024
	// linesPerSecond bounds what a process writes, with the line that counts
	// what was dropped.
	linesPerSecond = 199
)

// AsyncWriter passes log lines on without ever blocking the one that logs. When
// the reader of the output is too slow, or the process logs more than a reader can
// use, lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu sync.Mutex
	// second is the present second, taken the lines taken in it.
	second int64
	taken  int
	now    func() time.Time
}

// NewAsyncWriter returns a writer; Run passes the lines on.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return NewAsyncWriterWithClock(out, time.Now)
}

// NewAsyncWriterWithClock returns a writer that counts the lines of a second by
// the given clock.
func NewAsyncWriterWithClock(out io.Writer, now func() time.Time) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, writerLines), now: now}
}

// Write takes one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.mayTake() {
		w.dropped.Add(1)
		return len(line), nil
	}
	own := append([]byte(nil), line...)
	select {
	case w.lines <- own:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// mayTake counts a line and reports whether it is within the bound of its second.
func (w *AsyncWriter) mayTake() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second, w.taken = second, 0
	}
	w.taken++
	return w.taken <= linesPerSecond
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
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log: Lines were dropped because there were too many or their reader is slow.\",\"Dropped\":%d}\n", dropped)
	}
	_, _ = w.out.Write(line)
}
