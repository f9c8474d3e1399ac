package requestlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	window = 4 * time.Second
	// allowedFactor and allowedExtra bound the requests within a window, relative to
	// the limit.
	allowedFactor = 1.5
	allowedExtra  = 5
)

// play lets senders with equal load send to one backend server for a minute and returns
// the largest number of requests within a window and the mean rate. Each sender has a
// request every interval on average, and learns of the limit late by up to skew.
func play(rng *rand.Rand, senders int, perSecond float64, interval, skew time.Duration) (most int, rate float64) {
	const length = time.Minute
	tables := make([]*Table, senders)
	next := make([]time.Duration, senders)
	for i := range tables {
		tables[i] = NewTable()
		tables[i].Merge(Limit{Backend: 7, PerSecond: perSecond, Since: time.Duration(rng.Int64N(int64(skew) + 1)), At: skew})
		next[i] = time.Duration(rng.Int64N(int64(interval)))
	}
	var sends []time.Duration
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for i, table := range tables {
			if now < next[i] {
				continue
			}
			next[i] = now + time.Duration(rng.ExpFloat64()*float64(interval))
			if s := (Sender{i, senders}); table.Allows(now, 7, s) {
				table.Take(now, 7)
				// The response names a rate that varies a little.
				table.RecordLimit(now, 7, perSecond*(0.95+0.1*rng.Float64()))
				sends = append(sends, now)
			}
		}
	}
	first := 0
	for i, at := range sends {
		for at-sends[first] > window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most, float64(len(sends)) / length.Seconds()
}

// Guards against senders that exceed a limit together: each keeping to it alone, all
// sending at the same moment, or after a pause with what they have saved up. The limit
// must be used as well, as far as each sender has requests.
func TestLimitHoldsForAllSenders(t *testing.T) {
	for _, senders := range []int{1, 2, 6, 9, 80, 295} {
		for _, perSecond := range []float64{0, 0.3, 1.3, 1.9, 7, 40, 400} {
			t.Run(fmt.Sprintf("%d senders, %v a second", senders, perSecond), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(senders), uint64(perSecond*10)))
				most, rate := play(rng, senders, perSecond, 100*time.Millisecond, 20*time.Millisecond)
				if allowed := allowedFactor*window.Seconds()*perSecond + allowedExtra; float64(most) > allowed {
					t.Errorf("%d requests within %s, %v allowed", most, window, allowed)
				}
				if load := 10 * float64(senders); rate < 0.5*min(perSecond, load) {
					t.Errorf("%.2f requests a second of %v offered", rate, load)
				}
			})
		}
	}
}

// Guards against a limit that never ends, that ends with a response sent before it was
// named, or that differs between processes by the order of their messages.
func TestLimitEnds(t *testing.T) {
	table, alone := NewTable(), Sender{0, 1}
	if !table.Allows(time.Second, 1, alone) || table.IsLimited(1) {
		t.Error("limited although no limit was named")
	}
	if !table.RecordLimit(time.Second, 1, 2) || table.RecordLimit(2*time.Second, 1, 2.1) {
		t.Error("only the first response is a change")
	}
	if table.RecordNoLimit(2*time.Second+settleTime/2, 1) || !table.IsLimited(1) {
		t.Error("a response that was overtaken ended the limit")
	}
	if !table.ShouldSpare(2*time.Second, 1) || table.ShouldSpare(4*time.Second, 1) {
		t.Error("a limit is spared only while it is confirmed")
	}
	if !table.RecordNoLimit(3*time.Second, 1) || table.IsLimited(1) || !table.Allows(3*time.Second, 1, alone) {
		t.Error("the limit didn't end")
	}
	if table.Merge(Limit{Backend: 1, PerSecond: 2, Since: time.Second, At: 2500 * time.Millisecond}); table.IsLimited(1) {
		t.Error("an older message renewed the limit")
	}
	if !table.Merge(Limit{Backend: 1, PerSecond: 2, Since: time.Second, At: 4 * time.Second}) || !table.IsLimited(1) {
		t.Error("a newer message didn't renew the limit")
	}
	table.RecordNoLimit(5*time.Second, 1)
	table.Expire(5*time.Second + 2*liftedRetention)
	if len(table.Limits()) != 0 {
		t.Error("a limit that has ended is kept")
	}
}
