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

// Hash identifies the content of a manifest, whatever its white space and the
// order of its keys.
type Hash struct {
	// Digest is a short checksum for comparison in heartbeats.
	Digest uint64
	// SHA256 decides whether two documents have equal content.
	SHA256 [sha256.Size]byte
}

// String returns the first 12 hex digits of the SHA-256.
func (h Hash) String() string { return hex.EncodeToString(h.SHA256[:6]) }

// ContentHash hashes the canonical form of a JSON document. The canonical form
// is independent of the fields that this build knows, so that processes of
// neighbouring versions agree on it.
func ContentHash(data []byte) (Hash, error) {
	canonical, err := canonicalJSON(data)
	if err != nil {
		return Hash{}, errors.Trace(err)
	}
	return Hash{Digest: xxhash.Sum64(canonical), SHA256: sha256.Sum256(canonical)}, nil
}

// canonicalJSON returns data with sorted keys and without white space.
// Numbers keep their spelling: rounding them could make two documents equal
// that are not.
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
