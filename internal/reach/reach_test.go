package reach

import (
	"testing"
	"time"
)

const at = 10 * time.Second

// A partition that drops packets must be noticed from the silence, before each
// request to the far side has waited for a time-out of its own.
func TestSilenceLeadsToProbesAndToACut(t *testing.T) {
	table := NewTable()
	table.Heard("b", at)
	if table.Probe("b", at+SuspectAfter-1) {
		t.Fatal("a failure domain is probed although it was heard lately")
	}
	now := at + SuspectAfter
	if !table.Probe("b", now) || table.Probe("b", now+ProbeInterval-1) || !table.Probe("b", now+ProbeInterval) {
		t.Fatal("a silent failure domain is not probed once in each interval")
	}
	if table.Failed("b", 1, now) || table.Cut("b") {
		t.Fatal("one backend server takes its failure domain out")
	}
	if next, _ := table.Next("b", []uint64{1, 2}, now); next != 2 {
		t.Fatalf("backend server %d is probed next, expected the one that has not failed", next)
	}
	if !table.Failed("b", 2, now) || !table.Cut("b") || table.Cut("a") {
		t.Fatal("two silent backend servers do not take their failure domain out, or take another one")
	}
	if !table.Heard("b", now+time.Second) || table.Cut("b") {
		t.Fatal("a failure domain that was heard again counts as cut off")
	}
}

// Backend servers that die together must not take their failure domain out
// while others there are heard.
func TestDeadBackendServersAreNoCut(t *testing.T) {
	table := NewTable()
	table.Heard("b", at)
	table.Failed("b", 1, at+1)
	table.Heard("b", at+3)
	if table.Failed("b", 2, at+2) || table.Failed("b", 3, at+4) || table.Cut("b") {
		t.Fatal("failures before and after a sign of life are counted together")
	}
}

// A domain in which a single backend server is known is probed again and again,
// so that the end of a cut is noticed.
func TestProbesGoOnDuringACut(t *testing.T) {
	table := NewTable()
	table.Heard("b", at)
	table.Failed("b", 1, at+1)
	if next, ok := table.Next("b", []uint64{1}, at+3); !ok || next != 1 {
		t.Fatalf("the only backend server is not probed again: %d, %v", next, ok)
	}
	if _, ok := table.Next("b", nil, at+3); ok {
		t.Fatal("a probe without a backend server")
	}
}
