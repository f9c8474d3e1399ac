// Package config represents the configuration in force at one process: a
// manifest and the operator orders at one index of the replicated log.
//
// A Version is immutable, so request goroutines read it without locks while
// the next one is being prepared. Distribution of configurations between
// processes is left to package configsync.
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

// Target identifies the failure domain or backend server that an order puts in
// or out of service.
type Target struct{ Kind, Name string }

// Order is the last accepted order for a target.
type Order struct {
	Target Target
	// Out is set if the order takes the target out of service.
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
	// Digest is the checksum of the snapshot; see the function Digest.
	Digest uint64
	// Snapshot is the message that the version was made from. It is shared
	// and must not be changed.
	Snapshot *wirepb.ConfigSnapshot

	orders map[Target]Order
}

// FromSnapshot decodes s. The manifest was validated before it was accepted into
// the replicated log, so that it is not validated in full again. The version keeps
// a reference to s. It returns an error if the digest of s does not match its
// content, or if the manifest cannot be decoded or has another number than s
// states.
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
// itself or for its failure domain. If it is, the string describes the order. Empty
// names match no order.
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
	text := fmt.Sprintf("%s %s is out of service by order %d", o.Target.Kind, o.Target.Name, o.Number)
	if o.Reason != "" {
		text += ": " + o.Reason
	}
	return text
}

// Order returns the order in force for a target, and false if there is none.
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

// Digest returns the checksum of all fields of s except its digest. It hashes the
// fields one by one, variable-length ones preceded by their lengths, because the
// protobuf encoding of the same message may differ between builds.
func Digest(s *wirepb.ConfigSnapshot) uint64 {
	h := xxhash.New()
	var buf [8]byte
	writeUint64 := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = h.Write(buf[:])
	}
	writeString := func(text string) {
		writeUint64(uint64(len(text)))
		_, _ = h.WriteString(text)
	}
	writeUint64(s.GetIndex())
	writeUint64(s.GetManifestNumber())
	writeUint64(uint64(len(s.GetManifest())))
	_, _ = h.Write(s.GetManifest())
	for _, o := range s.GetOrders() {
		writeString(o.GetKind())
		writeString(o.GetTarget())
		out := uint64(0)
		if o.GetOut() {
			out = 1
		}
		writeUint64(out)
		writeUint64(o.GetNumber())
		writeString(o.GetReason())
	}
	return h.Sum64()
}
