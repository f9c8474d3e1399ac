package entry

import (
	"testing"
	"time"

	"bilberryhub/internal/invariant"
	"bilberryhub/internal/manifest"
)

// Guards against a deadline check that misses an overdue request, and against one
// that counts the time in which the process was paused.
func TestCheckDeadlines(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name      string
		deadline  time.Time
		resumedAt time.Time
		violated  bool
	}{
		{"not due", now.Add(time.Second), time.Time{}, false},
		{"within the grace", now.Add(-deadlineGrace / 2), time.Time{}, false},
		{"overdue", now.Add(-2 * deadlineGrace), time.Time{}, true},
		{"due during a pause that has just ended", now.Add(-4 * time.Second), now.Add(-deadlineGrace / 2), false},
		{"due during an earlier pause", now.Add(-4 * time.Second), now.Add(-2 * deadlineGrace), true},
		{"due after a pause", now.Add(-2 * deadlineGrace), now.Add(-4 * time.Second), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			violated := false
			defer invariant.SetHandler(func(string, string) { violated = true })()
			table := newRequestTable()
			table.add(&request{id: "r", account: &manifest.Account{Name: "a"}, deadline: tc.deadline})
			table.checkDeadlines(now, tc.resumedAt, deadlineGrace)
			if violated != tc.violated {
				t.Errorf("violated %v, want %v", violated, tc.violated)
			}
		})
	}
}
