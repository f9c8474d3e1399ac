// Package config is the configuration in force at one process: a manifest and
// the operator orders at one index of the replicated log.
//
// A Version is immutable, so request goroutines read it without locks while
// the next one is being prepared.
package config

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// The target kinds of operator orders.
const (
	TargetFailureDomain = "failure_domain"
	TargetBackendServer = "backend_server"
)

// Target names what an order takes in or out of service.
type Target struct{ Kind, Name string }

// Order is the last accepted order for a target.
type Order struct {
	Target Target
	Out    bool
	Number uint64
	Reason string
}

// Version is the configuration at one log index.
type Version struct {
	// Index is the log index of the last change.
	Index uint64
	// Number is the number of the manifest, 0 before the first one.
	Number uint64
	// Manifest is nil before the first manifest.
	Manifest *manifest.Manifest
	Digest   uint64
	// Snapshot is the message that the version was made from. It is shared
	// and must not be changed.
	Snapshot *wirepb.ConfigSnapshot

	orders map[Target]Order
}

// FromSnapshot returns the version of s, whose manifest was checked before it was
// accepted. The version keeps s.
func FromSnapshot(s *wirepb.ConfigSnapshot) (*Version, error) {
	digest := Digest(s)
	if digest != s.GetDigest() {
		return nil, errors.Errorf("configuration at index %d: digest is %016x, its content gives %016x",
			s.GetIndex(), s.GetDigest(), digest)
	}
	v := &Version{
		Index: s.GetIndex(), Number: s.GetManifestNumber(), Digest: digest, Snapshot: s,
		orders: make(map[Target]Order, len(s.GetOrders())),
	}
	if len(s.GetManifest()) > 0 {
		m, err := manifest.Decode(s.GetManifest())
		if err != nil {
			return nil, errors.Annotatef(err, "manifest at index %d", s.GetIndex())
		}
		if m.Number != s.GetManifestNumber() {
			return nil, errors.Errorf("configuration at index %d: manifest has number %d, expected %d",
				s.GetIndex(), m.Number, s.GetManifestNumber())
		}
		v.Manifest = m
	}
	for _, o := range s.GetOrders() {
		t := Target{o.GetKind(), o.GetTarget()}
		v.orders[t] = Order{Target: t, Out: o.GetOut(), Number: o.GetNumber(), Reason: o.GetReason()}
	}
	return v, nil
}

// Excluded reports whether a backend server is out of service, by an order for
// itself or for its failure domain, and names the order. Empty names match no
// order.
func (v *Version) Excluded(failureDomain, backendServer string) (bool, string) {
	for _, t := range [...]Target{{TargetFailureDomain, failureDomain}, {TargetBackendServer, backendServer}} {
		if t.Name == "" {
			continue
		}
		if o, ok := v.orders[t]; ok && o.Out {
			return true, o.describe()
		}
	}
	return false, ""
}

func (o Order) describe() string {
	s := fmt.Sprintf("%s %s is out of service by order %d", o.Target.Kind, o.Target.Name, o.Number)
	if o.Reason != "" {
		s += ": " + o.Reason
	}
	return s
}

// Order returns the order in force for a target.
func (v *Version) Order(t Target) (Order, bool) {
	o, ok := v.orders[t]
	return o, ok
}

// Orders returns all orders, sorted by target.
func (v *Version) Orders() []Order {
	out := make([]Order, 0, len(v.orders))
	for _, o := range v.orders {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Target.Kind, b.Target.Kind), cmp.Compare(a.Target.Name, b.Target.Name))
	})
	return out
}

// Digest returns the checksum of all of s but its digest field. Fields are
// written with their lengths, because protobuf encodings may differ between
// builds.
func Digest(s *wirepb.ConfigSnapshot) uint64 {
	h := xxhash.New()
	var buf [8]byte
	number := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = h.Write(buf[:])
	}
	text := func(t string) {
		number(uint64(len(t)))
		_, _ = h.WriteString(t)
	}
	number(s.GetIndex())
	number(s.GetManifestNumber())
	number(uint64(len(s.GetManifest())))
	_, _ = h.Write(s.GetManifest())
	for _, o := range s.GetOrders() {
		text(o.GetKind())
		text(o.GetTarget())
		out := uint64(0)
		if o.GetOut() {
			out = 1
		}
		number(out)
		number(o.GetNumber())
		text(o.GetReason())
	}
	return h.Sum64()
}
