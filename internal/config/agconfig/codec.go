package agconfig

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/anvilglade/anvilglade"
)

const (
	// MaxEncoded is the maximum size of an encoded document, in bytes. The
	// platform allows 1 MB; the rest is reserved for growth of the tables.
	MaxEncoded = 768 << 10
	// maxDecoded is the maximum size of a decompressed document, in bytes. It
	// limits the memory that a small compressed object can use.
	maxDecoded = 32 << 20
)

// ErrTooLarge means that a document exceeds MaxEncoded even with only its newest
// edit in the history.
var ErrTooLarge = errors.New("configuration is too large")

// Encode returns the data of the configuration object. It keeps at most the newest
// HistoryLength edits of the history, and fewer if the data would exceed
// MaxEncoded, but at least the newest one. It returns ErrTooLarge if that is still
// too large.
func Encode(document Document) ([]byte, error) {
	document.Format = Format
	if excess := len(document.History) - HistoryLength; excess > 0 {
		document.History = document.History[excess:]
	}
	for {
		data, err := pack(document)
		if err != nil {
			return nil, err
		}
		if len(data) <= MaxEncoded {
			return data, nil
		}
		if len(document.History) <= 1 {
			return nil, fmt.Errorf("%w: %d bytes, allowed are %d", ErrTooLarge, len(data), MaxEncoded)
		}
		document.History = document.History[(len(document.History)+1)/2:]
	}
}

func pack(document Document) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := json.NewEncoder(writer).Encode(document); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode decodes the data of the configuration object. It does not validate the
// tables.
func Decode(data []byte) (Document, error) {
	var document Document
	if err := unpack(data, &document); err != nil {
		return Document{}, err
	}
	if document.Format != Format {
		return Document{}, fmt.Errorf("decode configuration: format %d is unknown, expected %d", document.Format, Format)
	}
	return document, nil
}

// Load decodes the data of the configuration object without its history. Like
// Decode, it does not validate the tables.
func Load(version anvilglade.Version, data []byte) (anvilglade.Configuration, error) {
	var document struct {
		Format int
		Tables anvilglade.Tables
	}
	if err := unpack(data, &document); err != nil {
		return anvilglade.Configuration{}, err
	}
	if document.Format != Format {
		return anvilglade.Configuration{}, fmt.Errorf("decode configuration: format %d is unknown, expected %d", document.Format, Format)
	}
	return anvilglade.Configuration{Revision: anvilglade.Revision(version), Tables: document.Tables}, nil
}

func unpack(data []byte, target any) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecoded+1))
	if err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	if len(raw) > maxDecoded {
		return fmt.Errorf("decode configuration: more than %d bytes", maxDecoded)
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	return nil
}
