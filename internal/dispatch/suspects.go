package dispatch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryhub/internal/refusal"
	"bilberryhub/internal/suspicion"
)

// Suspected reports whether a fingerprint is under suspicion of crashing backend
// servers. An entry process must look this up before it starts a request: if the request
// was under suspicion then, a crash while it runs is attributed to it alone
// (Suspect.sole).
func (c *Core) Suspected(fingerprint []byte) bool { return c.suspects.IsSuspected(string(fingerprint)) }

// isSuspected reports whether the fingerprint of a request is under suspicion now.
func (c *Core) isSuspected(d *dispatch) bool {
	return !c.disabled.suspicion && len(d.req.Fingerprint) > 0 && c.suspects.IsSuspected(string(d.req.Fingerprint))
}

// quarantined reports whether a request is refused because of the crashes under it or
// under requests whose prompts begin like its own, and for how much longer.
func (c *Core) quarantined(d *dispatch) (time.Duration, bool) {
	if c.disabled.suspicion {
		return 0, false
	}
	if left, ok := c.suspects.Quarantined(c.now, string(d.req.Fingerprint)); ok {
		return left, true
	}
	if d.isTrial {
		return 0, false
	}
	return c.evidence.Quarantined(c.now, features(d.req.Fingerprint, d.req.PrefixHashes), func(_, _ uint64) bool {
		d.isTrial = true
		return true
	})
}

func quarantineRefusal(left time.Duration) *refusal.Error {
	return refusal.New(refusal.RequestSuspected, "backend servers crashed running this request or ones that begin like it").WithRetryAfter(left)
}

// features returns what a request has in common with others that may crash backend
// servers: repeats of itself, and the beginnings of its prompt.
func features(fingerprint []byte, prefixes []uint64) suspicion.Request {
	r := suspicion.Request{Self: suspicion.Feature(xxhash.Sum64(fingerprint))}
	for _, hash := range prefixes {
		r.Parts = append(r.Parts, suspicion.Feature(hash))
	}
	return r
}

// recordEvidence records the crash of a backend server on which a request had not begun
// to respond.
func (c *Core) recordEvidence(backend string, boot uint64, r suspicion.Request) {
	lifetime := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(backend), boot))
	c.evidence.RecordCrash(c.now, lifetime, append([]suspicion.Feature{r.Self}, r.Parts...)...)
}

// addRunning adds a granted dispatch to those of its fingerprint.
func (c *Core) addRunning(d *dispatch) {
	if fp := string(d.req.Fingerprint); fp != "" {
		c.runningByFingerprint[fp] = append(c.runningByFingerprint[fp], d)
	}
}

// removeRunning removes a dispatch from those of its fingerprint.
func (c *Core) removeRunning(d *dispatch) {
	fp := string(d.req.Fingerprint)
	list := c.runningByFingerprint[fp]
	for i, x := range list {
		if x == d {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.runningByFingerprint, fp)
		return
	}
	c.runningByFingerprint[fp] = list
}

// confinedTo returns the only backend server to which a request may be granted, or nil
// if it is not confined. Until one run of a fingerprint has completed, further copies go
// to the backend server that already runs one. Otherwise copies sent at the same time
// could crash many backend servers before the first crash is reported.
func (c *Core) confinedTo(d *dispatch) *backend {
	fp := string(d.req.Fingerprint)
	if c.disabled.proving || fp == "" || c.suspects.HasCompleted(fp) {
		return nil
	}
	for _, x := range c.runningByFingerprint[fp] {
		if x.pool == d.pool && len(x.members) > 0 {
			return x.members[0].backend
		}
	}
	return nil
}

// suspicionAllows reports whether a request may run on a backend server with regard to
// confinement and suspicion. A suspected request runs where no other suspected one does,
// and one at a time per fingerprint, so that a crash can be attributed to it.
func (c *Core) suspicionAllows(b *backend, d *dispatch) bool {
	if only := c.confinedTo(d); only != nil && only != b {
		return false
	}
	if !c.isSuspected(d) {
		return true
	}
	fp := string(d.req.Fingerprint)
	if len(c.runningByFingerprint[fp]) > 0 || !c.suspects.CanRerun(c.now, fp) {
		return false
	}
	for _, x := range b.open {
		if c.isSuspected(x) {
			return false
		}
	}
	return true
}

// redirectSuspect refuses a suspected request that the dispatcher of another failure
// domain must run, and names that dispatcher in the Refuse. It reports whether it did.
func (c *Core) redirectSuspect(d *dispatch) bool {
	if c.homes == nil || !c.isSuspected(d) {
		return false
	}
	domain, dispatcher, ok := c.homes.SuspectHome(d.req.Service, d.req.Fingerprint)
	if !ok || domain == d.req.FailureDomain {
		return false
	}
	if c.dispatches[d.id] != nil {
		c.freeDispatch(d, true)
	}
	c.answerRefuse(d, refusal.New(refusal.NoCapacity, "suspected requests of this fingerprint run in failure domain "+domain), dispatcher)
	return true
}
