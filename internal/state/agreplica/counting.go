package agreplica

import (
	"io"
	"sync/atomic"
)

// countingReader counts the bytes that are read.
type countingReader struct {
	reader io.Reader
	count  *atomic.Uint64
}

// Read reads from the underlying reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.count.Add(uint64(n))
	return n, err
}
