package statemachine

import (
	"crypto/sha256"
	"encoding/binary"
	"unique"

	"github.com/google/uuid"

	"bilberryhub/internal/wirepb"
)

// keyHashBytes is the length of the hash that finds a claim: 128 bits make an
// accidental collision among a million keys improbable by 25 orders of
// magnitude, and the account is part of the hash.
const keyHashBytes = 16

// claimKey is a hash of account and key.
type claimKey [keyHashBytes]byte

func newClaimKey(account, key string) claimKey {
	// The length keeps "a", "bc" apart from "ab", "c".
	b := binary.AppendUvarint(make([]byte, 0, 128), uint64(len(account)))
	b = append(append(b, account...), key...)
	hash := sha256.Sum256(b)
	return claimKey(hash[:keyHashBytes])
}

// claimRecord is a claim in memory. A million of them are kept, so the message
// of the claim is not kept with it: names are shared, uuids take 16 bytes, and
// everything else of variable length is one string. Only outcome and the links
// change after the grant.
type claimRecord struct {
	claimedAtMs uint64
	// index is that of the entry that granted the claim.
	index    uint64
	account  unique.Handle[string]
	entry    unique.Handle[string]
	bodyHash [bodyHashBytes]byte
	// claimID is the uuid, or zero when the claim id is part of text.
	claimID uuid.UUID
	// text is the key, as a uuid or as it is, and then the claim id unless it
	// is in claimID.
	text                string
	keyBytes            uint16
	keyIsUUID, idIsUUID bool
	outcome             *claimOutcome
	previous, next      *claimRecord
}

// claimOutcome is an outcome in memory. It never changes.
type claimOutcome struct {
	body        []byte
	contentType unique.Handle[string]
	status      uint32
	kind        wirepb.ClaimOutcome_Kind
	bodyDropped bool
}

// canonicalUUID returns the uuid that s is the usual form of.
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
	text := make([]byte, 0, 2*maxNameBytes)
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

func (r *claimRecord) key() string {
	key := r.text[:r.keyBytes]
	if r.keyIsUUID {
		return uuid.UUID([]byte(key)).String()
	}
	return key
}

func (r *claimRecord) id() string {
	if r.idIsUUID {
		return r.claimID.String()
	}
	return r.text[r.keyBytes:]
}

// sameBody reports whether the claim was made for a request with this hash.
func (r *claimRecord) sameBody(hash []byte) bool { return string(r.bodyHash[:]) == string(hash) }

// bodyBytes returns the size of the stored body.
func (o *claimOutcome) bodyBytes() int {
	if o == nil {
		return 0
	}
	return len(o.body)
}

func (o *claimOutcome) kindOf() wirepb.ClaimOutcome_Kind {
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

// outcomeMessage returns an outcome of the claim as a message.
func (r *claimRecord) outcomeMessage(o *claimOutcome) *wirepb.ClaimOutcome {
	if o == nil {
		return nil
	}
	return &wirepb.ClaimOutcome{
		Account: r.account.Value(), Key: r.key(), ClaimId: r.id(), Kind: o.kind, Status: o.status,
		ContentType: o.contentType.Value(), Body: o.body, BodyDropped: o.bodyDropped,
	}
}

// message returns the claim with an outcome as a message.
func (r *claimRecord) message(o *claimOutcome) *wirepb.ClaimRecord {
	return &wirepb.ClaimRecord{
		Claim: &wirepb.Claim{
			Account: r.account.Value(), Key: r.key(), BodyHash: r.bodyHash[:], ClaimId: r.id(), Entry: r.entry.Value(),
		},
		Outcome: r.outcomeMessage(o), ClaimedAtMs: r.claimedAtMs, Index: r.index,
	}
}

// claimTable holds the claims by key, and in the order of their grants.
type claimTable struct {
	byKey       map[claimKey]*claimRecord
	first, last *claimRecord
}

func newClaimTable() claimTable { return claimTable{byKey: map[claimKey]*claimRecord{}} }

// add appends a claim whose key is free.
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
