package statemachine

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/config"
	"bilberryhub/internal/invariant"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// orderKey identifies the target of an order.
type orderKey struct{ kind, target string }

// Config returns the configuration in force.
func (m *Machine) Config() *wirepb.ConfigSnapshot { return m.config }

// applyManifest puts a manifest into force if its number is higher than the one in
// force. A manifest with the same number must have the same content.
func (m *Machine) applyManifest(index uint64, a *wirepb.ApplyManifest) *wirepb.Result {
	r := &wirepb.Result{Index: m.configIndex, NumberInForce: m.manifestNumber}
	switch {
	case a.GetNumber() < m.manifestNumber:
		r.Code = CodeManifestOutdated
		r.Message = fmt.Sprintf("manifest %d is lower than %s", a.GetNumber(), m.describeManifest())
	case a.GetNumber() > m.manifestNumber:
		m.manifestNumber, m.manifest, m.contentHash = a.GetNumber(), a.GetContent(), nil
		m.configChanged(index)
		r.Index, r.NumberInForce = index, a.GetNumber()
	case bytes.Equal(a.GetContent(), m.manifest):
		r.Already = true
	default:
		hash, err := manifest.ContentHash(a.GetContent())
		switch {
		case err != nil:
			r.Code, r.Message = CodeBadCommand, err.Error()
		case hash == m.manifestHash():
			r.Already = true
		default:
			r.Code = CodeManifestConflict
			r.Message = fmt.Sprintf("manifest %d has content %s, which differs from %s", a.GetNumber(), hash, m.describeManifest())
		}
	}
	return r
}

// manifestHash returns the content hash of the manifest in force. The hash is
// computed on first use, so that the loop that applies commands is not delayed by
// it for each manifest.
func (m *Machine) manifestHash() manifest.Hash {
	if m.contentHash == nil {
		hash := manifest.Hash{}
		if len(m.manifest) > 0 {
			var err error
			hash, err = manifest.ContentHash(m.manifest)
			invariant.Must(err == nil, "statemachine_manifest_is_json", "manifest %d: %v", m.manifestNumber, err)
		}
		m.contentHash = &hash
	}
	return *m.contentHash
}

func (m *Machine) describeManifest() string {
	return fmt.Sprintf("manifest %d in force at index %d with content %s", m.manifestNumber, m.configIndex, m.manifestHash())
}

// applyOrder puts an order into force if its number is higher than that of the
// order in force for the same target. An order with the same number must have the
// same direction.
func (m *Machine) applyOrder(index uint64, o *wirepb.Order) *wirepb.Result {
	key := orderKey{o.GetKind(), o.GetTarget()}
	old := m.orders[key]
	r := &wirepb.Result{Index: m.configIndex, NumberInForce: old.GetNumber()}
	if o.GetNext() {
		o = withNextNumber(o, old)
	}
	switch {
	case o.GetNumber() < old.GetNumber():
		r.Code = CodeOrderOutdated
		r.Message = fmt.Sprintf("order %d is lower than %s", o.GetNumber(), describeOrder(old))
	case o.GetNumber() == old.GetNumber() && o.GetOut() == old.GetOut():
		r.Already = true
	case o.GetNumber() == old.GetNumber():
		r.Code = CodeOrderConflict
		r.Message = fmt.Sprintf("order %d says otherwise than %s", o.GetNumber(), describeOrder(old))
	case old == nil && len(m.orders) >= m.limits.Orders:
		r.Code = CodeOrdersFull
		r.Message = fmt.Sprintf("%d targets have orders", len(m.orders))
	default:
		m.orders[key] = o
		m.configChanged(index)
		r.Index, r.NumberInForce = index, o.GetNumber()
	}
	return r
}

// withNextNumber returns a copy of the order with the number that follows that of
// the order in force, or with the same number if the order changes nothing. Only
// processes of earlier builds propose such orders; an order of this build has a number.
func withNextNumber(o, old *wirepb.Order) *wirepb.Order {
	n := proto.CloneOf(o)
	n.Next, n.Number = false, old.GetNumber()+1
	if old.GetOut() == o.GetOut() && old != nil {
		n.Number = old.GetNumber()
	}
	return n
}

func describeOrder(o *wirepb.Order) string {
	direction := "in"
	if o.GetOut() {
		direction = "out"
	}
	return fmt.Sprintf("order %d in force, which takes %s %s %s", o.GetNumber(), o.GetKind(), o.GetTarget(), direction)
}

// configChanged rebuilds the configuration after a change at the given log index.
func (m *Machine) configChanged(index uint64) {
	old := m.config
	m.configIndex = index
	m.rebuildConfig()
	checkSuccession(old, m.config)
}

// checkSuccession asserts that a configuration is a valid successor of another one:
// its index and manifest number don't decrease, and a manifest number has only one
// content.
func checkSuccession(old, next *wirepb.ConfigSnapshot) {
	invariant.Must(next.GetIndex() >= old.GetIndex(), "statemachine_config_index_grows",
		"config index %d after %d", next.GetIndex(), old.GetIndex())
	invariant.Must(next.GetManifestNumber() >= old.GetManifestNumber(), "statemachine_manifest_number_grows",
		"manifest number %d after %d", next.GetManifestNumber(), old.GetManifestNumber())
	if next.GetManifestNumber() == old.GetManifestNumber() {
		invariant.Must(string(next.GetManifest()) == string(old.GetManifest()), "statemachine_one_content_per_number",
			"manifest %d changed its content at index %d", next.GetManifestNumber(), next.GetIndex())
	}
}

// rebuildConfig replaces the configuration message with a new one, so that a
// message that was returned to a caller never changes.
func (m *Machine) rebuildConfig() {
	m.config = &wirepb.ConfigSnapshot{
		Index: m.configIndex, ManifestNumber: m.manifestNumber, Manifest: m.manifest, Orders: m.sortedOrders(),
	}
	m.config.Digest = config.Digest(m.config)
}

// sortedOrders returns the orders sorted by kind and target.
func (m *Machine) sortedOrders() []*wirepb.Order {
	out := make([]*wirepb.Order, 0, len(m.orders))
	for _, o := range m.orders {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *wirepb.Order) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetTarget(), b.GetTarget()))
	})
	return out
}
