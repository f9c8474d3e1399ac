package standin

import (
	"testing"
	"time"
)

// Guards against requests that are counted as within a pause before its first half second
// or after its end, so that a test of the serving layer would fail without a fault, and
// against some that are missed.
func TestPauseWindow(t *testing.T) {
	var w pauseWindow
	begin := time.Now()
	at := func(d time.Duration) bool { return w.contains(begin.Add(d)) }
	if at(0) {
		t.Error("a pause without a request for one")
	}
	w.extend(begin, 2*time.Second)
	// A shorter one that is asked for later changes nothing.
	w.extend(begin.Add(time.Second), 500*time.Millisecond)
	if at(pauseGrace-1) || !at(pauseGrace) || !at(2*time.Second-1) || at(2*time.Second) {
		t.Error("the pause is not from half a second on until 2 s")
	}
	w.extend(begin.Add(time.Second), 2*time.Second)
	if !at(1100*time.Millisecond) || !at(3*time.Second-1) || at(3*time.Second) {
		t.Error("a pause that is extended has a gap or another end")
	}
	w.extend(begin.Add(4*time.Second), time.Second)
	if at(4*time.Second) || !at(4*time.Second+pauseGrace) {
		t.Error("the next pause doesn't begin after its first half second")
	}
}
