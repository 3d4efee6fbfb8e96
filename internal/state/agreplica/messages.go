package agreplica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilglade/anvilglade"
)

// maxMessageBytes is the maximum size of one message between balancers in bytes. The
// largest record is the configuration, at most 1 MB in the object API.
const maxMessageBytes = 4 << 20

// message is a message between two balancers. Besides Time it has exactly one
// field set.
type message struct {
	Time anvilglade.Timestamp
	// Hello is the first message in each direction.
	Hello *hello `cbor:",omitempty"`
	// Records has changed records, or those that a Wanted has requested.
	Records []anvilglade.Record `cbor:",omitempty"`
	// Announced lists changed records that are too large to flood.
	Announced []recordVersion `cbor:",omitempty"`
	// Root is the hash of all records. It is sent every second.
	Root *uint64 `cbor:",omitempty"`
	// Shards is the answer to a Root that differs from the receiver's.
	Shards *shardHashes `cbor:",omitempty"`
	// Versions is the answer to Shards, one message for each shard that differs.
	Versions *shardVersions `cbor:",omitempty"`
	// Complete is sent to a fresh balancer after all records.
	Complete bool `cbor:",omitempty"`
	// Wanted requests records of which the peer has a higher version.
	Wanted []recordKey `cbor:",omitempty"`
}

// hello is the first message on a connection.
type hello struct {
	Balancer anvilglade.BalancerID
	// Fresh requests all records, followed by Complete.
	Fresh bool
}

type shardVersions struct {
	Shard   int
	Records []recordVersion
}

type recordVersion struct {
	Kind    anvilglade.RecordKind
	Name    string
	Version anvilglade.Version
}

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// writeMessage writes the length of a message in four bytes, big-endian, and
// then the message.
func writeMessage(w io.Writer, msg *message) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	if _, err := w.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// readMessage reads one message. It returns an error for one that is too long
// or malformed.
func readMessage(r io.Reader) (*message, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("read message: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message has %d bytes, allowed are %d", size, maxMessageBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("read message: %w", err)
	}
	return parseMessage(body)
}

func parseMessage(body []byte) (*message, error) {
	msg := new(message)
	if err := decodeMode.Unmarshal(body, msg); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	if msg.Versions != nil && (msg.Versions.Shard < 0 || msg.Versions.Shard >= shardCount) {
		return nil, errors.New("decode message: shard is out of range")
	}
	return msg, nil
}
