// Package fleet is the table of backend servers that have announced themselves.
//
// An announcement may be late, repeated, or sent by a lifetime that has ended
// already, so the table orders announcements by the start of the lifetime and
// the sequence number in it, never by their arrival. The table does no I/O and
// is not safe for concurrent use.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackendServer is the last announcement of one backend server.
type BackendServer struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Build is the version of its software.
	Build string
	// Slots is the number of requests that it runs at once.
	Slots    int
	Draining bool
	// Gone is set after it has announced its end, or another lifetime has
	// announced itself under its address.
	Gone bool
	// ColdUntil is the time until which it bears few requests only.
	ColdUntil time.Duration
	// BornMs is the start of the lifetime as stated by itself, in Unix ms. It
	// only orders lifetimes.
	BornMs   uint64
	Sequence uint64
	// SeenAt is when the last announcement was received by any process.
	SeenAt time.Duration
}

// Key identifies one lifetime of a backend server in datagrams.
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

// Usable reports whether new requests may be sent to it.
func (b *BackendServer) Usable() bool { return !b.Gone && !b.Draining }

// Table holds backend servers by id.
type Table struct {
	rows map[string]*BackendServer
	// byAddress holds the latest lifetime at each address.
	byAddress map[string]*BackendServer
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*BackendServer{}, byAddress: map[string]*BackendServer{}}
}

// Get returns a backend server, or nil.
func (t *Table) Get(id string) *BackendServer { return t.rows[id] }

// All returns the backend servers sorted by id.
func (t *Table) All() []*BackendServer {
	out := make([]*BackendServer, 0, len(t.rows))
	for _, b := range t.rows {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Merge takes an announcement over. It returns the rows that have changed in
// anything but the time of the last announcement and its number.
func (t *Table) Merge(in BackendServer) []*BackendServer {
	if in.Gone && in.BornMs == 0 && t.rows[in.ID] != nil {
		return t.Leave(in.ID, 0)
	}
	old := t.rows[in.ID]
	if old != nil && !newer(&in, old) {
		if in.BornMs == old.BornMs && in.Sequence == old.Sequence {
			old.SeenAt = max(old.SeenAt, in.SeenAt)
		}
		return nil
	}
	var changed []*BackendServer
	if other := t.byAddress[in.Address]; other != nil && other.ID != in.ID && !other.Gone && !in.Gone {
		if other.BornMs > in.BornMs {
			// The sender has ended: a later lifetime lives at its address.
			in.Gone = true
		} else {
			o := *other
			o.Gone = true
			t.store(&o)
			changed = append(changed, &o)
		}
	}
	row := &in
	same := old != nil && equalButTime(old, row)
	t.store(row)
	if same {
		return changed
	}
	return append(changed, row)
}

// Leave marks a backend server as gone. BornMs is 0 when the message does not
// state the lifetime; it then means the known one.
func (t *Table) Leave(id string, bornMs uint64) []*BackendServer {
	old := t.rows[id]
	if old == nil || old.Gone || (bornMs != 0 && bornMs < old.BornMs) {
		return nil
	}
	row := *old
	row.Gone = true
	t.store(&row)
	return []*BackendServer{&row}
}

// Forget removes rows that have not been announced since the given time.
func (t *Table) Forget(before time.Duration) {
	for id, b := range t.rows {
		if b.SeenAt < before {
			delete(t.rows, id)
			if t.byAddress[b.Address] == b {
				delete(t.byAddress, b.Address)
			}
		}
	}
}

// store replaces a row. Rows are never changed in place except for SeenAt, so
// that readers may keep them.
func (t *Table) store(b *BackendServer) {
	t.rows[b.ID] = b
	if cur := t.byAddress[b.Address]; cur == nil || cur.ID == b.ID || cur.BornMs <= b.BornMs {
		t.byAddress[b.Address] = b
	}
}

// newer reports whether a is a later statement than b. Within one lifetime its
// end is the latest one whatever its number: different processes may have
// received the announcements.
func newer(a, b *BackendServer) bool {
	switch {
	case a.BornMs != b.BornMs:
		return a.BornMs > b.BornMs
	case a.Gone != b.Gone:
		return a.Gone
	}
	return a.Sequence > b.Sequence
}

// coldTolerance hides the jitter of announcements from comparisons.
const coldTolerance = 300 * time.Millisecond

func equalButTime(a, b *BackendServer) bool {
	x, y := *a, *b
	if d := x.ColdUntil - y.ColdUntil; d < coldTolerance && d > -coldTolerance || max(x.ColdUntil, y.ColdUntil) <= b.SeenAt {
		y.ColdUntil = x.ColdUntil
	}
	y.SeenAt, y.Sequence = x.SeenAt, x.Sequence
	return x == y
}
