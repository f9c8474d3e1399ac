package statemachine

import (
	"crypto/sha256"
	"encoding/binary"
	"unique"

	"github.com/google/uuid"

	"bilberryhub/internal/wirepb"
)

// keyHashBytes is the length of the hash by which claims are looked up. With 128
// bits, an accidental collision among a million keys is improbable by 25 orders
// of magnitude, and the account is part of the hash.
const keyHashBytes = 16

// claimKey is a truncated SHA-256 hash of account and key.
type claimKey [keyHashBytes]byte

func newClaimKey(account, key string) claimKey {
	// The length prefix makes "a", "bc" and "ab", "c" hash differently.
	b := binary.AppendUvarint(make([]byte, 0, 128), uint64(len(account)))
	b = append(append(b, account...), key...)
	hash := sha256.Sum256(b)
	return claimKey(hash[:keyHashBytes])
}

// claimRecord is the compact representation of a claim in memory. Up to a million
// of them are kept, so the protobuf message is not kept: account and entry names
// are interned, uuids take 16 bytes, and everything else of variable length is
// stored in one string. Only outcome and the list links change after the grant.
type claimRecord struct {
	claimedAtMs uint64
	// index is the log index of the entry that granted the claim.
	index    uint64
	account  unique.Handle[string]
	entry    unique.Handle[string]
	bodyHash [bodyHashBytes]byte
	// claimID is the claim id if it is a uuid, as reported by idIsUUID. Otherwise
	// it is zero, and the claim id is part of text.
	claimID uuid.UUID
	// text holds the key in its first keyBytes bytes, as the 16 bytes of a uuid
	// if keyIsUUID is set and otherwise verbatim, followed by the claim id unless
	// that is in claimID.
	text                string
	keyBytes            uint16
	keyIsUUID, idIsUUID bool
	outcome             *claimOutcome
	previous, next      *claimRecord
}

// claimOutcome is the representation of an outcome in memory. It is immutable.
type claimOutcome struct {
	body        []byte
	contentType unique.Handle[string]
	status      uint32
	kind        wirepb.ClaimOutcome_Kind
	bodyDropped bool
}

// canonicalUUID parses s as a uuid. ok is false unless s is its canonical text
// form, so that the text can be restored from the uuid.
func canonicalUUID(s string) (id uuid.UUID, ok bool) {
	if len(s) != 36 {
		return id, false
	}
	id, err := uuid.Parse(s)
	return id, err == nil && id.String() == s
}

func newClaimRecord(c *wirepb.Claim, claimedAtMs, index uint64) *claimRecord {
	r := &claimRecord{
		claimedAtMs: claimedAtMs, index: index,
		account: unique.Make(c.GetAccount()), entry: unique.Make(c.GetEntry()),
	}
	copy(r.bodyHash[:], c.GetBodyHash())
	text := make([]byte, 0, 2*MaxNameBytes)
	if id, ok := canonicalUUID(c.GetKey()); ok {
		text, r.keyIsUUID = append(text, id[:]...), true
	} else {
		text = append(text, c.GetKey()...)
	}
	r.keyBytes = uint16(len(text))
	if id, ok := canonicalUUID(c.GetClaimId()); ok {
		r.claimID, r.idIsUUID = id, true
	} else {
		text = append(text, c.GetClaimId()...)
	}
	r.text = string(text)
	return r
}

// key returns the key as the claimant sent it.
func (r *claimRecord) key() string {
	key := r.text[:r.keyBytes]
	if r.keyIsUUID {
		return uuid.UUID([]byte(key)).String()
	}
	return key
}

// id returns the claim id as the claimant sent it.
func (r *claimRecord) id() string {
	if r.idIsUUID {
		return r.claimID.String()
	}
	return r.text[r.keyBytes:]
}

// hasBodyHash reports whether the claim was made for a request with this body
// hash.
func (r *claimRecord) hasBodyHash(hash []byte) bool { return string(r.bodyHash[:]) == string(hash) }

// bodyBytes returns the size of the stored body in bytes, and 0 for no outcome.
func (o *claimOutcome) bodyBytes() int {
	if o == nil {
		return 0
	}
	return len(o.body)
}

// kindOrUnspecified returns the kind, and KIND_UNSPECIFIED for no outcome.
func (o *claimOutcome) kindOrUnspecified() wirepb.ClaimOutcome_Kind {
	if o == nil {
		return wirepb.ClaimOutcome_KIND_UNSPECIFIED
	}
	return o.kind
}

func newClaimOutcome(o *wirepb.ClaimOutcome) *claimOutcome {
	if o == nil {
		return nil
	}
	return &claimOutcome{
		body: o.GetBody(), contentType: unique.Make(o.GetContentType()), status: o.GetStatus(),
		kind: o.GetKind(), bodyDropped: o.GetBodyDropped(),
	}
}

// outcomeMessage returns the protobuf message of an outcome of the claim, or nil
// for no outcome.
func (r *claimRecord) outcomeMessage(o *claimOutcome) *wirepb.ClaimOutcome {
	if o == nil {
		return nil
	}
	return &wirepb.ClaimOutcome{
		Account: r.account.Value(), Key: r.key(), ClaimId: r.id(), Kind: o.kind, Status: o.status,
		ContentType: o.contentType.Value(), Body: o.body, BodyDropped: o.bodyDropped,
	}
}

// message returns the protobuf message of the claim with the given outcome.
func (r *claimRecord) message(o *claimOutcome) *wirepb.ClaimRecord {
	return &wirepb.ClaimRecord{
		Claim: &wirepb.Claim{
			Account: r.account.Value(), Key: r.key(), BodyHash: r.bodyHash[:], ClaimId: r.id(), Entry: r.entry.Value(),
		},
		Outcome: r.outcomeMessage(o), ClaimedAtMs: r.claimedAtMs, Index: r.index,
	}
}

// claimTable holds the claims by key, and as a doubly linked list in the order
// in which they were granted.
type claimTable struct {
	byKey       map[claimKey]*claimRecord
	first, last *claimRecord
}

func newClaimTable() claimTable { return claimTable{byKey: map[claimKey]*claimRecord{}} }

// add appends a claim. Its key must not be claimed.
func (t *claimTable) add(k claimKey, r *claimRecord) {
	t.byKey[k] = r
	r.previous = t.last
	if t.last == nil {
		t.first = r
	} else {
		t.last.next = r
	}
	t.last = r
}

// remove removes the claim of a key, which must exist.
func (t *claimTable) remove(k claimKey) {
	r := t.byKey[k]
	delete(t.byKey, k)
	if r.previous == nil {
		t.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		t.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
}
