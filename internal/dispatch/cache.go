package dispatch

import "bilberryhub/internal/announce"

const (
	// maxCacheHashes limits the number of known prefix blocks of one backend server.
	maxCacheHashes = 65536
	// uncertainCredit is the weight of a block that may have been evicted, compared with
	// one that is known to be cached.
	uncertainCredit = 0.5
)

// prefixCache mirrors the prefix cache of a backend server from its cache events. A
// gap in the sequence of events makes all earlier entries uncertain, which is
// neither "cached" nor "not cached".
type prefixCache struct {
	// hashes maps a prefix to the value of gaps when its block was stored, or to -1 if
	// no event has confirmed the block.
	hashes       map[uint64]int
	gaps         int // gaps in the sequence of events so far
	lastSequence uint64
}

// apply updates the mirror with cache events in the order of their sequence. Events
// that were already applied or skipped are ignored.
func (p *prefixCache) apply(events []announce.CacheEvent, ignoreGaps bool) {
	for _, e := range events {
		if e.Sequence <= p.lastSequence {
			continue // applied before, or a late event of a gap that was already counted
		}
		if p.lastSequence > 0 && e.Sequence != p.lastSequence+1 && !ignoreGaps {
			p.gaps++
		}
		p.lastSequence = e.Sequence
		if e.Evicted {
			delete(p.hashes, e.Hash)
			continue
		}
		p.add(e.Hash, p.gaps)
	}
}

// addUncertain adds the prefixes that a finished prefill has most likely left in the
// cache, as uncertain.
func (p *prefixCache) addUncertain(hashes []uint64) {
	for _, h := range hashes {
		if _, known := p.hashes[h]; !known {
			p.add(h, -1)
		}
	}
}

// add stores a prefix with its number of gaps.
func (p *prefixCache) add(h uint64, gaps int) {
	if p.hashes == nil || len(p.hashes) >= maxCacheHashes {
		// Clearing a full table lowers cachedShare for a while, which affects only
		// estimates.
		p.hashes = map[uint64]int{}
	}
	p.hashes[h] = gaps
}

// cachedShare returns the expected share of a prompt that is cached, from 0 to 1.
// hashes lists the prefixes of the prompt from the shortest to the longest.
func (p *prefixCache) cachedShare(hashes []uint64) float64 {
	certain, n := 0, 0
	for _, h := range hashes {
		gaps, known := p.hashes[h]
		if !known {
			break
		}
		n++
		if gaps == p.gaps && certain == n-1 {
			certain = n
		}
	}
	if n == 0 {
		return 0
	}
	credit := float64(certain) + uncertainCredit*float64(n-certain)
	return credit / float64(len(hashes))
}
