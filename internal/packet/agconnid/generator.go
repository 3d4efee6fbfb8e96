package agconnid

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Generator generates the connection ids of one agent and service for quic-go.
type Generator struct {
	codec   *Codec
	target  Target
	counter atomic.Uint32
}

var _ quic.ConnectionIDGenerator = (*Generator)(nil)

// NewGenerator returns a generator for a target. The counter starts at a random
// value, because an agent that restarts twice within one second has the same
// incarnation tag both times.
func NewGenerator(codec *Codec, target Target) *Generator {
	g := &Generator{codec: codec, target: target}
	g.counter.Store(rand.Uint32())
	return g
}

// GenerateConnectionID returns a new id under the current key. It returns an
// error if there is no key.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	id, err := g.codec.Encode(g.target, g.counter.Add(1))
	if err != nil {
		return quic.ConnectionID{}, fmt.Errorf("generate connection id: %w", err)
	}
	return quic.ConnectionIDFromBytes(id), nil
}

// ConnectionIDLen returns Size.
func (*Generator) ConnectionIDLen() int {
	return Size
}
