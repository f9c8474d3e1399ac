package invariant

import "testing"

// Guards against violations that are not counted or do not reach the handler.
func TestReportCountsAndCallsHandler(t *testing.T) {
	var got []string
	defer SetHandler(func(name, detail string) { got = append(got, name+": "+detail) })()
	before := Violations("example")
	if Report(true, "example", "unused") != true || len(got) != 0 {
		t.Fatalf("a condition that holds was reported: %v", got)
	}
	if Report(false, "example", "value %d", 3) {
		t.Fatal("Report returned true for a violation")
	}
	if len(got) != 1 || got[0] != "example: value 3" {
		t.Fatalf("handler received %v", got)
	}
	if n := Violations("example") - before; n != 1 {
		t.Fatalf("counted %d violations, want 1", n)
	}
}

// Guards against execution that continues with corrupted state.
func TestMustPanics(t *testing.T) {
	defer SetHandler(func(string, string) {})()
	defer func() {
		if recover() == nil {
			t.Fatal("Must returned after a violation")
		}
	}()
	Must(false, "example", "broken")
}
