package reach

import (
	"testing"
	"time"
)

const start = 10 * time.Second

// A partition that drops packets must be detected from the silence, before each
// request to the other side has waited for a timeout of its own.
func TestSilentDomainIsProbedAndMarkedUnreachable(t *testing.T) {
	table := NewTable()
	table.RecordContact("b", start)
	if table.TakeProbe("b", start+SuspectAfter-1) {
		t.Fatal("a failure domain is probed although it was in contact recently")
	}
	now := start + SuspectAfter
	if !table.TakeProbe("b", now) || table.TakeProbe("b", now+ProbeInterval-1) || !table.TakeProbe("b", now+ProbeInterval) {
		t.Fatal("a silent failure domain is not probed once in each interval")
	}
	if table.RecordFailure("b", 1, now) || table.IsUnreachable("b") {
		t.Fatal("one failed backend server makes its failure domain unreachable")
	}
	if next, _ := table.NextTarget("b", []uint64{1, 2}, now); next != 2 {
		t.Fatalf("backend server %d is probed next, expected the one that has not failed", next)
	}
	if !table.RecordFailure("b", 2, now) || !table.IsUnreachable("b") || table.IsUnreachable("a") {
		t.Fatal("two failed backend servers do not make their failure domain unreachable, or make another one so")
	}
	if !table.RecordContact("b", now+time.Second) || table.IsUnreachable("b") {
		t.Fatal("a failure domain that is in contact again counts as unreachable")
	}
}

// Backend servers that fail together must not make their failure domain
// unreachable while something is received from others there.
func TestContactKeepsDomainReachable(t *testing.T) {
	table := NewTable()
	table.RecordContact("b", start)
	table.RecordFailure("b", 1, start+1)
	table.RecordContact("b", start+3)
	if table.RecordFailure("b", 2, start+2) || table.RecordFailure("b", 3, start+4) || table.IsUnreachable("b") {
		t.Fatal("failures before and after a contact are counted together")
	}
}

// A failure domain with a single known backend server is probed repeatedly, so
// that the end of a partition is detected.
func TestUnreachableDomainIsProbed(t *testing.T) {
	table := NewTable()
	table.RecordContact("b", start)
	table.RecordFailure("b", 1, start+1)
	if next, ok := table.NextTarget("b", []uint64{1}, start+3); !ok || next != 1 {
		t.Fatalf("the only backend server is not probed again: %d, %v", next, ok)
	}
	if _, ok := table.NextTarget("b", nil, start+3); ok {
		t.Fatal("a probe without a backend server")
	}
}
