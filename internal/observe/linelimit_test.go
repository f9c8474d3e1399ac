package observe

import (
	"testing"
	"time"
)

// Guards against refusals that fill the log, and against lines that are left out unnoticed.
func TestLineLimit(t *testing.T) {
	l := NewLineLimit(2)
	for i, want := range []struct {
		at      time.Duration
		allowed bool
		omitted int64
	}{
		{5 * time.Second, true, 0},
		{5 * time.Second, true, 0},
		{5 * time.Second, false, 0},
		{5999 * time.Millisecond, false, 0},
		{6 * time.Second, true, 2},
		{6 * time.Second, true, 0},
		{6 * time.Second, false, 0},
		{60 * time.Second, true, 1},
	} {
		field, allowed := l.Allow(want.at)
		if allowed != want.allowed || field.Integer != want.omitted {
			t.Errorf("line %d: allowed %v with %d omitted, want %v with %d", i, allowed, field.Integer, want.allowed, want.omitted)
		}
	}
}
