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

type orderKey struct{ kind, target string }

// Config returns the configuration in force.
func (m *Machine) Config() *wirepb.ConfigSnapshot { return m.config }

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

// manifestHash returns the content hash of the manifest in force. It is made when
// it is asked for first: the loop that applies commands must not stop for it with
// each manifest.
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

func (m *Machine) applyOrder(index uint64, o *wirepb.Order) *wirepb.Result {
	key := orderKey{o.GetKind(), o.GetTarget()}
	old := m.orders[key]
	r := &wirepb.Result{Index: m.configIndex, NumberInForce: old.GetNumber()}
	if o.GetNext() {
		o = numbered(o, old)
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

// numbered returns the order with the number after the one in force, or with
// the same number when it changes nothing.
func numbered(o, old *wirepb.Order) *wirepb.Order {
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

func (m *Machine) configChanged(index uint64) {
	old := m.config
	m.configIndex = index
	m.rebuildConfig()
	checkSuccession(old, m.config)
}

// checkSuccession asserts that a configuration may follow another one.
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

// rebuildConfig makes a new message, so that one handed out never changes.
func (m *Machine) rebuildConfig() {
	m.config = &wirepb.ConfigSnapshot{
		Index: m.configIndex, ManifestNumber: m.manifestNumber, Manifest: m.manifest, Orders: m.sortedOrders(),
	}
	m.config.Digest = config.Digest(m.config)
}

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
