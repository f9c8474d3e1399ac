package dispatch

import "bilberryhub/internal/announce"

const (
	// maxCacheHashes bounds the known prefix blocks of one backend server.
	maxCacheHashes = 65536
	// uncertainCredit is the credit for a block that may have been evicted.
	uncertainCredit = 0.5
)

// prefixCache is what is known about the prefix cache of a backend server. A gap
// in the sequence of events makes all earlier knowledge uncertain, which is
// neither "cached" nor "not cached".
type prefixCache struct {
	// hashes maps a prefix to the number of gaps seen when its block was stored.
	hashes map[uint64]int
	gaps   int
	last   uint64
}

func (p *prefixCache) apply(events []announce.CacheEvent, ignoreGaps bool) {
	for _, e := range events {
		if e.Sequence <= p.last {
			continue // a late event of a gap that has already been accounted for
		}
		if p.last > 0 && e.Sequence != p.last+1 && !ignoreGaps {
			p.gaps++
		}
		p.last = e.Sequence
		if e.Evicted {
			delete(p.hashes, e.Hash)
			continue
		}
		p.add(e.Hash, p.gaps)
	}
}

// guess notes a prefix that a finished prefill has most likely left in the cache.
func (p *prefixCache) guess(hashes []uint64) {
	for _, h := range hashes {
		if _, known := p.hashes[h]; !known {
			p.add(h, -1)
		}
	}
}

func (p *prefixCache) add(h uint64, gaps int) {
	if p.hashes == nil || len(p.hashes) >= maxCacheHashes {
		// Starting anew loses credit for a while, which costs no correctness.
		p.hashes = map[uint64]int{}
	}
	p.hashes[h] = gaps
}

// cached returns the expected share of a prompt that is cached, from 0 to 1.
// hashes lists the prefixes of the prompt from the shortest to the longest.
func (p *prefixCache) cached(hashes []uint64) float64 {
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
