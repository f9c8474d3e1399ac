package gateway

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// remoteBatchers is the number of gateways of another failure domain among which load
// shares that may wait are divided, to be sent on there in batches: few, so that a batch
// holds many load shares, and several, so that a lost one costs a part of them only.
const remoteBatchers = 4

// domainUse is what the gateways of a failure domain were told of the work of this
// gateway there.
type domainUse struct {
	// usedAt is when work there was last sent, had its first event or ended. sharedAt is
	// when a load share was last sent to the failure domain.
	usedAt, sharedAt time.Duration
	// hasNewWork and hasProgress are set by changes since the last load share.
	hasNewWork, hasProgress bool
}

// changedDomains are the failure domains that get a load share.
type changedDomains struct {
	// atOnce holds those with new work, later those where work has gone on or that had no
	// load share for an interval, and used those that were used recently and the own one.
	atOnce, later, used map[string]bool
}

// useDomain records that work in a failure domain has changed. The caller holds the lock.
func (b *workTable) useDomain(domain string, now time.Duration) *domainUse {
	use := b.usedDomains[domain]
	if use == nil {
		use = &domainUse{}
		b.usedDomains[domain] = use
	}
	use.usedAt = now
	return use
}

// takeChangedDomains returns the failure domains that get the next load share, and
// records that it was sent to them. interval is the time between two load shares when
// nothing changes: without a change, a failure domain with open work gets them at that
// interval, and for usedDomainRetention after the last work there, in case the one that
// told of its end was lost.
func (b *workTable) takeChangedDomains(now, interval time.Duration) changedDomains {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := map[string]bool{}
	for j := range b.local {
		open[j.domain] = true
	}
	out := changedDomains{atOnce: map[string]bool{}, later: map[string]bool{}, used: map[string]bool{}}
	due := time.Duration((1 - shareJitter) * float64(interval))
	for domain, use := range b.usedDomains {
		if !open[domain] && now-use.usedAt > usedDomainRetention {
			delete(b.usedDomains, domain)
			continue
		}
		out.used[domain] = true
		switch {
		case use.hasNewWork:
			out.atOnce[domain] = true
		case use.hasProgress || now-use.sharedAt >= due:
			out.later[domain] = true
		default:
			continue
		}
		use.sharedAt, use.hasNewWork, use.hasProgress = now, false, false
	}
	return out
}

// detailTargets are the datagram addresses of the gateways that a load share is sent to
// directly, of those that send it on at once, and of those that do so in batches.
type detailTargets struct {
	direct, relays, batchers []netip.AddrPort
}

// detailTargets returns the gateways outside of the own failure domain that get a load
// share, and those of all failure domains that don't relay: they know no summaries, and
// get each load share if their failure domain is used.
func (m *members) detailTargets(changed changedDomains) (out detailTargets) {
	m.mu.Lock()
	defer m.mu.Unlock()
	remote := map[string][]rankedAddress{}
	for id, entry := range m.gateways {
		domain := entry.info.GetFailureDomain()
		isLocal := domain == m.g.settings.FailureDomain
		switch {
		case !entry.address.IsValid():
		case !entry.info.GetRelays():
			if changed.used[domain] {
				out.direct = append(out.direct, entry.address)
			}
		case !isLocal && (changed.atOnce[domain] || changed.later[domain]):
			remote[domain] = append(remote[domain], rankedAddress{xxhash.Sum64String(id), entry.address})
		}
	}
	for domain, list := range remote {
		switch {
		case len(list) < minRelayDomain:
			for _, a := range list {
				out.direct = append(out.direct, a.address)
			}
		case changed.atOnce[domain]:
			out.relays = append(out.relays, list[rand.IntN(len(list))].address)
		default:
			slices.SortFunc(list, rankedAddress.compare)
			out.batchers = append(out.batchers, list[rand.IntN(min(remoteBatchers, len(list)))].address)
		}
	}
	return out
}

// summaryTargets returns the datagram addresses of the gateways of other failure domains
// that get a summary directly, and of those that relay it.
func (m *members) summaryTargets() (direct, relays []netip.AddrPort) {
	all := map[string]bool{}
	m.mu.Lock()
	for _, entry := range m.gateways {
		all[entry.info.GetFailureDomain()] = true
	}
	m.mu.Unlock()
	targets := m.detailTargets(changedDomains{atOnce: all})
	return targets.direct, targets.relays
}

// rankedAddress is the datagram address of a gateway with its place in an order that all
// gateways share.
type rankedAddress struct {
	hash    uint64
	address netip.AddrPort
}

func (a rankedAddress) compare(b rankedAddress) int { return cmp.Compare(a.hash, b.hash) }
