package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rotation chooses the state process for each subscription: the one that was tried
// least recently. State processes come and go between two attempts, so a position in
// their list may name the process that has just failed.
type rotation struct {
	// start is where in the list the processes that were never tried begin. It differs by
	// process, which spreads the load.
	start uint64
	// tried is the number of the last attempt at each address, and attempts that of the
	// last attempt of all.
	tried    map[string]uint64
	attempts uint64
	// confirmed is the number of the last attempt whose process confirmed a
	// configuration, or 0.
	confirmed uint64
}

func newRotation(entryID string) *rotation {
	return &rotation{start: xxhash.Sum64String(entryID), tried: map[string]uint64{}}
}

// next returns the address to try now and records the attempt. It requires at least one
// address.
func (r *rotation) next(addresses []string) string {
	r.forget(addresses)
	first := int(r.start % uint64(len(addresses)))
	address := slices.MinFunc(slices.Concat(addresses[first:], addresses[:first]), func(a, b string) int {
		return cmp.Compare(r.tried[a], r.tried[b])
	})
	r.attempts++
	r.tried[address] = r.attempts
	return address
}

// forget bounds the number of addresses kept: it drops the unlisted one that was tried
// least recently.
func (r *rotation) forget(listed []string) {
	if len(r.tried) <= maxPeers {
		return
	}
	oldest := ""
	for a, n := range r.tried {
		if !slices.Contains(listed, a) && (oldest == "" || n < r.tried[oldest]) {
			oldest = a
		}
	}
	delete(r.tried, oldest)
}

// confirm records that the process of the last attempt has confirmed a configuration.
func (r *rotation) confirm() { r.confirmed = r.attempts }

// hasAlternative reports whether one of the addresses was not tried since the last
// attempt that led to a confirmation. It reports false before the first one: then all
// processes may be starting, and each gets the time that it needs.
func (r *rotation) hasAlternative(addresses []string) bool {
	return r.confirmed > 0 && slices.ContainsFunc(addresses, func(a string) bool { return r.tried[a] < r.confirmed })
}
