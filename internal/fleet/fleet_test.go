package fleet

import (
	"testing"
	"time"
)

func server(id, address string, born, sequence uint64) BackendServer {
	return BackendServer{ID: id, Service: "s", Address: address, FailureDomain: "a", BornMs: born, Sequence: sequence}
}

func merge(table *Table, list ...BackendServer) {
	for _, b := range list {
		table.Merge(b)
	}
}

// Guards against a leave that is ignored because the process that forwards it has
// received fewer announcements than others, so that its sequence number is lower.
func TestLeaveForwardedByAnotherProcess(t *testing.T) {
	table := NewTable()
	merge(table, server("x", "10.0.0.1:1", 100, 15))
	gone := server("x", "10.0.0.1:1", 100, 10)
	gone.Gone = true
	merge(table, gone)
	if table.Get("x").Usable() {
		t.Fatal("the end of the lifetime was ignored because of its lower number")
	}
	merge(table, server("x", "10.0.0.1:1", 100, 20))
	if table.Get("x").Usable() {
		t.Fatal("a late announcement brought an ended lifetime back")
	}
	merge(table, server("x", "10.0.0.1:1", 200, 1))
	if !table.Get("x").Usable() {
		t.Fatal("the next lifetime of the same id is not used")
	}
}

// Guards against a leave that is ignored because it states no lifetime. A process
// without announcements of the backend server forwards such a leave.
func TestLeaveWithoutLifetime(t *testing.T) {
	table := NewTable()
	merge(table, server("x", "10.0.0.1:1", 100, 15), BackendServer{ID: "x", Gone: true})
	if table.Get("x").Usable() {
		t.Fatal("the end without a lifetime was ignored")
	}
}

func TestMergeOrder(t *testing.T) {
	draining := server("x", "10.0.0.1:1", 100, 7)
	draining.Draining = true
	for name, c := range map[string]struct {
		list   []BackendServer
		id     string
		usable bool
	}{
		"older sequence does not undo draining": {[]BackendServer{draining, server("x", "10.0.0.1:1", 100, 6)}, "x", false},
		"newer sequence undoes draining":        {[]BackendServer{draining, server("x", "10.0.0.1:1", 100, 8)}, "x", true},
		"address taken by a later lifetime":     {[]BackendServer{server("x", "10.0.0.1:1", 100, 1), server("y", "10.0.0.1:1", 200, 1)}, "x", false},
		"late announcement of a former owner":   {[]BackendServer{server("y", "10.0.0.1:1", 200, 1), server("x", "10.0.0.1:1", 100, 9)}, "x", false},
		"the later owner stays":                 {[]BackendServer{server("y", "10.0.0.1:1", 200, 1), server("x", "10.0.0.1:1", 100, 9)}, "y", true},
		"older lifetime of the same id":         {[]BackendServer{server("x", "10.0.0.1:1", 200, 1), server("x", "10.0.0.2:1", 100, 9)}, "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			merge(table, c.list...)
			if got := table.Get(c.id).Usable(); got != c.usable {
				t.Fatalf("usable is %v, expected %v", got, c.usable)
			}
		})
	}
}

// Guards against repeated announcements that are forwarded as changes: at the design
// size they are most of what control processes receive.
func TestRepeatedAnnouncementIsNoChange(t *testing.T) {
	table := NewTable()
	merge(table, server("x", "10.0.0.1:1", 100, 1))
	again := server("x", "10.0.0.1:1", 100, 2)
	again.SeenAt = time.Second
	if changed := table.Merge(again); len(changed) != 0 {
		t.Fatalf("%d changes, expected none", len(changed))
	}
	if table.Get("x").SeenAt != time.Second {
		t.Fatal("the time of the last announcement was not kept")
	}
}

func TestForget(t *testing.T) {
	table := NewTable()
	merge(table, server("x", "10.0.0.1:1", 100, 1))
	table.Forget(time.Second)
	if len(table.All()) != 0 {
		t.Fatal("a silent backend server is kept for ever")
	}
}

// Guards against a data race: requests read the backend server that was chosen for them
// while announcements go on, so that an entry must never change.
func TestEntriesDoNotChange(t *testing.T) {
	table := NewTable()
	announced := BackendServer{ID: "b1", Address: "10.0.0.1:80", BornMs: 1, Sequence: 1, SeenAt: time.Second}
	table.Merge(announced)
	chosen := table.Get("b1")
	announced.SeenAt = 2 * time.Second
	table.Merge(announced)
	table.Refresh("b1", 1, 3*time.Second)
	if chosen.SeenAt != time.Second || table.Get("b1").SeenAt != 3*time.Second {
		t.Errorf("seen at %s and %s, expected 1s and 3s", chosen.SeenAt, table.Get("b1").SeenAt)
	}
}
