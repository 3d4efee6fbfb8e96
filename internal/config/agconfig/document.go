// Package agconfig has the codec of the configuration object and the match of
// hosts to pools.
//
// # Usage
//
//	document, err := agconfig.Decode(object.Data)
//	if err != nil {
//		return err
//	}
//	service, ok := agconfig.NewMatcher(document.Tables).Service("dk1-h01")
package agconfig

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"path"

	"github.com/anvilglade/anvilglade"
)

// maxDocumentSize bounds the uncompressed object in bytes.
const maxDocumentSize = 16 << 20

// Document is the content of the configuration object.
type Document struct {
	Tables anvilglade.Tables
}

// Encode returns the compressed form of a document.
func Encode(document *Document) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := json.NewEncoder(writer).Encode(document); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode parses the compressed form. It returns an error for malformed data.
func Decode(data []byte) (*Document, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentSize))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	document := new(Document)
	if err := json.Unmarshal(raw, document); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return document, nil
}

// Matcher finds the pool of a host.
type Matcher struct {
	pools []anvilglade.Pool
}

// NewMatcher returns a matcher for the pools of the tables.
func NewMatcher(tables anvilglade.Tables) *Matcher {
	return &Matcher{pools: tables.Pools}
}

// Service returns the service whose pool matches the host.
func (m *Matcher) Service(host anvilglade.HostID) (anvilglade.ServiceID, bool) {
	for _, pool := range m.pools {
		for _, pattern := range pool.Hosts {
			if ok, err := path.Match(pattern, string(host)); ok && err == nil {
				return pool.Service, true
			}
		}
	}
	return "", false
}
