// Package fleet holds the table of backend servers that have announced themselves.
//
// An announcement may be delayed, repeated, or sent by a lifetime of a backend server
// that has ended already. The table therefore orders announcements by the start of
// the lifetime and by the sequence number within it, never by the time of arrival.
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackendServer is the state of one backend server according to its latest
// announcement. ColdUntil and SeenAt are times of the clock of the caller.
type BackendServer struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Build is the version of its software.
	Build string
	// Slots is the number of requests that it can run concurrently.
	Slots int
	// Draining is set while it finishes its requests and accepts no new ones.
	Draining bool
	// Gone is set after it has announced that it leaves, or after a later lifetime
	// has announced itself with the same address.
	Gone bool
	// ColdUntil is the end of the cold phase, in which it can handle only a few
	// requests.
	ColdUntil time.Duration
	// BornMs is the start of the lifetime in Unix milliseconds, as announced. It is
	// used only to order lifetimes.
	BornMs uint64
	// Sequence orders the announcements of one lifetime.
	Sequence uint64
	// SeenAt is when any process last received an announcement.
	SeenAt time.Duration
}

// Key returns a hash of the id and the start of the lifetime, which identifies one
// lifetime of a backend server in datagrams.
func (b *BackendServer) Key() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(b.ID)
	var born [8]byte
	for i := range born {
		born[i] = byte(b.BornMs >> (8 * i))
	}
	_, _ = h.Write(born[:])
	return h.Sum64()
}

// Usable reports whether new requests may be sent to the backend server.
func (b *BackendServer) Usable() bool { return !b.Gone && !b.Draining }

// Table holds the latest announcement of each backend server.
type Table struct {
	// byID holds the backend servers by id.
	byID map[string]*BackendServer
	// byAddress holds the latest lifetime at each address.
	byAddress map[string]*BackendServer
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byID: map[string]*BackendServer{}, byAddress: map[string]*BackendServer{}}
}

// Get returns the backend server with the given id, or nil.
func (t *Table) Get(id string) *BackendServer { return t.byID[id] }

// All returns the backend servers sorted by id.
func (t *Table) All() []*BackendServer {
	out := make([]*BackendServer, 0, len(t.byID))
	for _, b := range t.byID {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Merge applies an announcement unless it is outdated. It returns the backend servers
// that have changed in anything but SeenAt, Sequence and small differences of
// ColdUntil. Of two backend servers that announce the same address, the one with the
// earlier lifetime becomes gone.
func (t *Table) Merge(announced BackendServer) []*BackendServer {
	if announced.Gone && announced.BornMs == 0 && t.byID[announced.ID] != nil {
		return t.Leave(announced.ID, 0)
	}
	old := t.byID[announced.ID]
	if old != nil && !isNewer(&announced, old) {
		if announced.BornMs == old.BornMs && announced.Sequence == old.Sequence {
			t.refresh(old, announced.SeenAt)
		}
		return nil
	}
	var changed []*BackendServer
	if other := t.byAddress[announced.Address]; other != nil && other.ID != announced.ID && !other.Gone && !announced.Gone {
		if other.BornMs > announced.BornMs {
			// The sender has ended, because a later lifetime uses its address.
			announced.Gone = true
		} else {
			replaced := *other
			replaced.Gone = true
			t.store(&replaced)
			changed = append(changed, &replaced)
		}
	}
	server := &announced
	unchanged := old != nil && equivalent(old, server)
	t.store(server)
	if unchanged {
		return changed
	}
	return append(changed, server)
}

// Refresh records an announcement that differs from the one in the table in its sequence
// only, received at seenAt. An older one is ignored.
func (t *Table) Refresh(id string, sequence uint64, seenAt time.Duration) {
	if b := t.byID[id]; b != nil && !b.Gone && sequence >= b.Sequence {
		t.refresh(b, seenAt)
	}
}

// refresh replaces a backend server by a copy that was seen at a later time.
func (t *Table) refresh(b *BackendServer, seenAt time.Duration) {
	if seenAt <= b.SeenAt {
		return
	}
	refreshed := *b
	refreshed.SeenAt = seenAt
	t.byID[b.ID] = &refreshed
	if t.byAddress[b.Address] == b {
		t.byAddress[b.Address] = &refreshed
	}
}

// Leave marks a backend server as gone and returns it if that changes the table.
// BornMs is the start of the lifetime that has ended; 0 means the lifetime in the
// table.
func (t *Table) Leave(id string, bornMs uint64) []*BackendServer {
	old := t.byID[id]
	if old == nil || old.Gone || (bornMs != 0 && bornMs < old.BornMs) {
		return nil
	}
	left := *old
	left.Gone = true
	t.store(&left)
	return []*BackendServer{&left}
}

// Forget removes backend servers that were last announced before the given time.
func (t *Table) Forget(before time.Duration) {
	for id, b := range t.byID {
		if b.SeenAt < before {
			t.Remove(id)
		}
	}
}

// Remove removes the backend server with the given id, as if it had never announced itself.
func (t *Table) Remove(id string) {
	b := t.byID[id]
	delete(t.byID, id)
	if b != nil && t.byAddress[b.Address] == b {
		delete(t.byAddress, b.Address)
	}
}

// store replaces the entry of a backend server. Entries are never modified in place, so
// that callers may keep pointers to them.
func (t *Table) store(b *BackendServer) {
	t.byID[b.ID] = b
	if current := t.byAddress[b.Address]; current == nil || current.ID == b.ID || current.BornMs <= b.BornMs {
		t.byAddress[b.Address] = b
	}
}

// isNewer reports whether the announcement a supersedes b. Within one lifetime, the
// announcement of its end supersedes all others whatever its sequence number, because
// the announcements may have been received by different processes.
func isNewer(a, b *BackendServer) bool {
	switch {
	case a.BornMs != b.BornMs:
		return a.BornMs > b.BornMs
	case a.Gone != b.Gone:
		return a.Gone
	}
	return a.Sequence > b.Sequence
}

// coldTolerance is the difference in ColdUntil that is attributed to jitter of the
// announcements and not treated as a change.
const coldTolerance = 300 * time.Millisecond

// equivalent reports whether two announcements differ only in SeenAt, Sequence, or
// ColdUntil. ColdUntil may differ by less than coldTolerance, or arbitrarily if both
// times had passed when b was received.
func equivalent(a, b *BackendServer) bool {
	x, y := *a, *b
	if d := x.ColdUntil - y.ColdUntil; d < coldTolerance && d > -coldTolerance || max(x.ColdUntil, y.ColdUntil) <= b.SeenAt {
		y.ColdUntil = x.ColdUntil
	}
	y.SeenAt, y.Sequence = x.SeenAt, x.Sequence
	return x == y
}
