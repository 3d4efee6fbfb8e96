package agbackend

// Bodies that both ends can compute: a stream that depends on a seed, so that
// the body of another request is recognised as foreign.

import (
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

type body struct {
	source *rand.PCG
	left   int
	word   uint64
	bytes  int
}

// NewBody returns the body of GET /echo?seed=SEED&size=SIZE.
func NewBody(seed string, size int) io.Reader {
	sum := xxhash.Sum64String(seed)
	return &body{source: rand.NewPCG(sum, ^sum), left: size}
}

// Read fills p with the next bytes of the stream.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	for i := range n {
		if b.bytes == 0 {
			b.word, b.bytes = b.source.Uint64(), 8
		}
		p[i] = byte(b.word)
		b.word >>= 8
		b.bytes--
	}
	b.left -= n
	return n, nil
}
