package configsync

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a failover that returns to the state process that has just failed,
// because the list of state processes has another length than at the last attempt.
func TestFailoverLeavesTheFailedProcess(t *testing.T) {
	states := []string{"a", "b", "c"}
	for process := range 50 {
		r := newRotation(fmt.Sprintf("gateway-%d", process))
		previous := ""
		for step, list := range [][]string{states, states[:2], states[1:], states, states[1:], states[:2], states} {
			address := r.next(list)
			if address == previous || !slices.Contains(list, address) {
				t.Fatalf("process %d, step %d: %q of %v was chosen after %q", process, step, address, list, previous)
			}
			previous = address
		}
	}
}

// Guards against a process that tries a state process again before all others.
func TestEachStateProcessIsTriedBeforeOneIsRepeated(t *testing.T) {
	states := []string{"a", "b", "c", "d", "e"}
	r := newRotation("gateway")
	for round := range 3 {
		var tried []string
		for range states {
			tried = append(tried, r.next(states))
		}
		slices.Sort(tried)
		if !slices.Equal(tried, states) {
			t.Fatalf("round %d tried %v", round, tried)
		}
	}
}

// Guards against the growth of the table of addresses that are no longer listed.
func TestAddressesAreForgotten(t *testing.T) {
	r := newRotation("gateway")
	for i := range 10 * maxPeers {
		r.next([]string{fmt.Sprint(i)})
	}
	if n := len(r.tried); n > maxPeers+1 {
		t.Fatalf("%d addresses are kept", n)
	}
}

// Guards against a change that is late because a minority of the state processes, to one
// of which this process is subscribed, has lost the leader: the subscription must move to
// one of the others although the list of state processes has changed meanwhile.
func TestChangeArrivesWhileAMinorityIsCutOff(t *testing.T) {
	// A minority notices after a second that the leader is lost, and changes are in force
	// 2 s after their acknowledgement.
	const limit = 2500 * time.Millisecond
	for process := range 8 {
		t.Run(fmt.Sprint(process), func(t *testing.T) {
			t.Parallel()
			replicas := make([]*replica, 5)
			addresses := make([]string, len(replicas))
			for i := range replicas {
				replicas[i] = newReplica(t, 5)
				addresses[i] = replicas[i].address
			}
			syncer := newTestSyncer(t)
			syncer.opts.EntryID = fmt.Sprintf("gateway-%d", process)
			listed := addresses[:4]
			syncer.opts.StatesNow = func() []string {
				syncer.mu.Lock()
				defer syncer.mu.Unlock()
				return listed
			}
			syncer.run().waitFor(2*time.Second, "confirmation", syncer.isFresh)
			syncer.Syncer.mu.Lock()
			followed := slices.Index(addresses, syncer.state.address)
			syncer.Syncer.mu.Unlock()
			syncer.mu.Lock()
			listed = addresses
			syncer.mu.Unlock()
			minority := []int{followed, (followed + 1) % len(replicas)}
			for i, r := range replicas {
				if slices.Contains(minority, i) {
					r.set(5, false)
				} else {
					r.set(6, true)
				}
			}
			syncer.waitFor(limit, "the change", syncer.isAt(6))
		})
	}
}
