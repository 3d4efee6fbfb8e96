package agconnid

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Generator gives quic-go the connection ids of one agent and service.
type Generator struct {
	codec   *Codec
	target  Target
	counter atomic.Uint32
}

var _ quic.ConnectionIDGenerator = (*Generator)(nil)

// NewGenerator returns a generator for a target. The counter starts at a
// random value, since two restarts within one second share an incarnation tag.
func NewGenerator(codec *Codec, target Target) *Generator {
	g := &Generator{codec: codec, target: target}
	g.counter.Store(rand.Uint32())
	return g
}

// GenerateConnectionID returns a new id under the current key.
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
