package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"bilberryhub/internal/announce"
)

// pauseGrace is the time after a response that wants a pause in which requests may still
// arrive: they were sent before it was read, or by another process.
const pauseGrace = 500 * time.Millisecond

// pauseWindow is the time in which a boot wants no requests.
type pauseWindow struct {
	mu       sync.Mutex
	from, to time.Time
}

// extend begins a pause at now, or extends the current one.
func (p *pauseWindow) extend(now time.Time, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.After(p.to) {
		p.from = now.Add(pauseGrace)
	}
	if end := now.Add(length); end.After(p.to) {
		p.to = end
	}
}

// contains reports whether a time is within the pause.
func (p *pauseWindow) contains(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.from) && now.Before(p.to)
}

// notices adds what the faults make the instance say of itself to the response to a
// request. It reports whether it has refused the request because it wants a pause.
func (b *boot) notices(w http.ResponseWriter, injected requestFaults) (isRefused bool) {
	if b.pauses.contains(time.Now()) {
		b.in.stats.InPause.Add(1)
	}
	f := b.in.faults.get()
	if f.SayLeaving != "" {
		b.in.stats.SaidLeaving.Add(1)
		w.Header().Set(announce.LeavingHeader, f.SayLeaving)
	}
	if !injected.pause {
		return false
	}
	b.in.stats.Pauses.Add(1)
	// A value that is no number asks for nothing.
	if seconds, err := strconv.ParseFloat(f.RetryAfter, 64); err == nil && seconds > 0 {
		b.pauses.extend(time.Now(), time.Duration(seconds*float64(time.Second)))
	}
	w.Header().Set("Retry-After", f.RetryAfter)
	writeError(w, http.StatusServiceUnavailable, "wants_a_pause", "this backend server wants no requests for some time")
	return true
}
