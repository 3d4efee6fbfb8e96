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
	// maxQueuedLines is the maximum number of lines that are queued for a slow
	// reader of the output.
	maxQueuedLines = 1024
	// maxLinesPerSecond is the maximum number of lines that a process logs per
	// second. A process may write 200; one is left for the line that reports dropped
	// lines.
	maxLinesPerSecond = 199
)

// AsyncWriter queues log lines for the output, so that logging never blocks. Lines
// are dropped and counted if the reader of the output is too slow or if the
// process logs more than maxLinesPerSecond.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64

	mu sync.Mutex
	// second is the Unix second of the last Write, linesInSecond the number of lines
	// that were passed to Write in it.
	second        int64
	linesInSecond int
	now           func() time.Time
}

// NewAsyncWriter returns a writer whose method Run writes the queued lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return NewAsyncWriterWithClock(out, time.Now)
}

// NewAsyncWriterWithClock returns a writer that uses the given clock to count the
// lines of a second.
func NewAsyncWriterWithClock(out io.Writer, now func() time.Time) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), now: now}
}

// Write queues one line or drops it. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.allowLine() {
		w.dropped.Add(1)
		return len(line), nil
	}
	queued := append([]byte(nil), line...)
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allowLine counts a line and reports whether it is within the limit of the
// current second.
func (w *AsyncWriter) allowLine() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second, w.linesInSecond = second, 0
	}
	w.linesInSecond++
	return w.linesInSecond <= maxLinesPerSecond
}

// Run writes queued lines until the context ends, and then the lines that are
// still queued. It returns the error of the context.
func (w *AsyncWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			w.Flush()
			return ctx.Err()
		}
	}
}

// Flush writes the queued lines. It must not be called while Run is running.
func (w *AsyncWriter) Flush() {
	for len(w.lines) > 0 {
		w.writeLine(<-w.lines)
	}
}

// writeLine writes one line, preceded by the number of lines that were dropped since
// the last line was written. Write errors are ignored, because they cannot be logged.
func (w *AsyncWriter) writeLine(line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log: Lines were dropped because there were too many or their reader is slow.\",\"Dropped\":%d}\n", dropped)
	}
	_, _ = w.out.Write(line)
}
