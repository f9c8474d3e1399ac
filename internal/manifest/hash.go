package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Hash identifies the content of a manifest independently of its white space and of
// the order of its keys.
type Hash struct {
	// Digest is a short checksum for comparison in heartbeats.
	Digest uint64
	// SHA256 decides whether two documents have equal content.
	SHA256 [sha256.Size]byte
}

// String returns the first 12 hex digits of the SHA-256.
func (h Hash) String() string { return hex.EncodeToString(h.SHA256[:6]) }

// ContentHash returns the hash of the canonical form of a JSON document. The
// canonical form does not depend on the fields that this build supports, so that
// processes of adjacent versions compute the same hash. It returns an error if data is
// not a single JSON document.
func ContentHash(data []byte) (Hash, error) {
	canonical, err := canonicalJSON(data)
	if err != nil {
		return Hash{}, errors.Trace(err)
	}
	return Hash{Digest: xxhash.Sum64(canonical), SHA256: sha256.Sum256(canonical)}, nil
}

// canonicalJSON returns data with sorted keys and without white space. Numbers keep
// their textual form, because rounding could make different documents equal.
func canonicalJSON(data []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var doc any
	if err := dec.Decode(&doc); err != nil {
		return nil, errors.Annotate(err, "decode document")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the document")
	}
	out, err := json.Marshal(doc)
	return out, errors.Annotate(err, "encode canonical form")
}
