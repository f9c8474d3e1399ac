package entry

import (
	"testing"

	"go.uber.org/zap"
)

// Guards against a nil configuration syncer when a peer calls early: peers call as
// soon as the process listens, and a heartbeat may arrive before Start has finished.
func TestCallsDuringTheStart(t *testing.T) {
	s, err := New(&Settings{ID: "entry-1", FailureDomain: "d1", States: []string{"127.0.0.1:1"}}, Options{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	s.sync.NotePeer("127.0.0.1:2", 1, 1)
	if s.claims == nil {
		t.Fatal("the claim client is nil before the process listens")
	}
}
