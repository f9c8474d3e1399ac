package statemachine

import (
	"cmp"
	"slices"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/wirepb"
)

// acquireFence assigns the holder a fencing number that is higher than all earlier
// ones. All resources share one counter, so that the fencing numbers of a resource
// keep increasing even if its record was dropped to make room for another.
func (m *Machine) acquireFence(index uint64, a *wirepb.AcquireFence) *wirepb.Result {
	old := m.fences[a.GetResource()]
	number := m.nextFence
	m.nextFence++
	invariant.Must(number > old.GetNumber(), "statemachine_fence_grows",
		"resource %s: fencing number %d after %d", a.GetResource(), number, old.GetNumber())
	if old == nil && len(m.fences) >= m.limits.Fences {
		m.dropOldestFence()
	}
	m.fences[a.GetResource()] = &wirepb.FenceRecord{
		Resource: a.GetResource(), Holder: a.GetHolder(), Number: number, AcquiredAtMs: m.clockMs,
	}
	return &wirepb.Result{Index: index, Fence: number}
}

// dropOldestFence drops the record with the lowest number. Numbers are unique, so
// the choice doesn't depend on the iteration order of the map.
func (m *Machine) dropOldestFence() {
	var oldest *wirepb.FenceRecord
	for _, f := range m.fences {
		if oldest == nil || f.GetNumber() < oldest.GetNumber() {
			oldest = f
		}
	}
	delete(m.fences, oldest.GetResource())
}

// sortedFences returns the records in ascending order of their numbers.
func (m *Machine) sortedFences() []*wirepb.FenceRecord {
	out := make([]*wirepb.FenceRecord, 0, len(m.fences))
	for _, f := range m.fences {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *wirepb.FenceRecord) int { return cmp.Compare(a.GetNumber(), b.GetNumber()) })
	return out
}
