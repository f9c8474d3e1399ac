package entry

import (
	"testing"

	"go.uber.org/zap"
)

// Peers call as soon as the process listens. A heartbeat that arrived before the
// rest of the start read a configuration syncer that was not there yet.
func TestCallsDuringTheStart(t *testing.T) {
	s, err := New(&Settings{ID: "entry-1", FailureDomain: "d1", States: []string{"127.0.0.1:1"}}, Options{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	s.sync.NotePeer("127.0.0.1:2", 1, 1)
	if s.claims == nil {
		t.Fatal("claims are not there before the process listens")
	}
}
