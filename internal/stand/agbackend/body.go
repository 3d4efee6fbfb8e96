package agbackend

// Response bodies that client and server can both compute. Their bytes depend on a
// seed, so that a client detects the body of another request.

import (
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

type body struct {
	source    *rand.PCG
	remaining int
	word      uint64
	wordBytes int
}

// NewBody returns the body of GET /echo?seed=SEED&size=SIZE; size is in bytes.
func NewBody(seed string, size int) io.Reader {
	sum := xxhash.Sum64String(seed)
	return &body{source: rand.NewPCG(sum, ^sum), remaining: size}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.remaining)
	for i := range n {
		if b.wordBytes == 0 {
			b.word, b.wordBytes = b.source.Uint64(), 8
		}
		p[i] = byte(b.word)
		b.word >>= 8
		b.wordBytes--
	}
	b.remaining -= n
	return n, nil
}
