package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// lostPath is the path of one entry process to all backend servers. When it is lost, new
// connections are refused, or vanish.
type lostPath struct {
	isLost  atomic.Bool
	refuses bool
	// stall, if set, holds back all writes.
	stall atomic.Pointer[writeStall]
}

// backendDialer returns the function by which entry process i connects to backend
// servers.
func (c *cluster) backendDialer(i int, domain string) func(context.Context, string, string) (net.Conn, error) {
	path := &lostPath{}
	c.lostPath[i] = path
	dial := c.net.dialer(domain)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch {
		case !path.isLost.Load():
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &stallingConn{Conn: conn, path: path}, nil
		case path.refuses:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
	}
}

// isIsolated reports whether entry process i states that it is isolated.
func (c *cluster) isIsolated(i int) bool {
	c.t.Helper()
	var doc struct {
		Isolated *bool `json:"isolated"`
	}
	if err := json.Unmarshal([]byte(c.stateDump(i)), &doc); err != nil || doc.Isolated == nil {
		c.t.Fatalf("state dump of entry process %d: %v", i, err)
	}
	return *doc.Isolated
}

// TestIsolatedEntryServesThroughDispatchers guards against callers of an entry process
// that has lost its path to all backend servers, while the dispatchers reach them: their
// requests must be served, and must not count as crashes of backend servers.
func TestIsolatedEntryServesThroughDispatchers(t *testing.T) {
	for name, refuses := range map[string]bool{"refused": true, "vanishing": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, layout{domains: 1, entriesPerDomain: 3, enginesPerDomain: 3, plain: true})
			// All pools of the domain have their dispatcher among the others.
			isolated := -1
			c.eventually("an entry process that dispatches nothing", func() bool {
				for i := range c.entries {
					owned := 0
					for _, p := range c.pools(i) {
						for _, b := range p.Backends {
							if b.LeaseMS > 0 {
								owned++
							}
						}
					}
					if owned == 0 {
						isolated = i
						return true
					}
				}
				return false
			})
			c.lostPath[isolated].refuses = refuses
			c.lostPath[isolated].isLost.Store(true)
			// Connections that vanish are found by the first requests.
			const first, requests = 4, 20
			for range first {
				c.sendPrompt(isolated, prompt{stream: true})
			}
			served := 0
			for i := range requests {
				got := c.sendPrompt(isolated, prompt{stream: true, text: fmt.Sprint("question ", i)})
				if got.status == http.StatusOK && got.err == nil {
					served++
				}
			}
			if served != requests {
				t.Errorf("%d of %d prompts were served", served, requests)
			}
			for i := range requests {
				id := fmt.Sprint("job-", i)
				if got := c.book(isolated, id, effectBody(id)); got.status != http.StatusOK || c.effectCount(id) != 1 {
					t.Errorf("booking %d: status %d %s, ran %d times", i, got.status, got.body, c.effectCount(id))
				}
			}
			if !c.isIsolated(isolated) {
				t.Error("the entry process doesn't notice that it is isolated")
			}
			c.lostPath[isolated].isLost.Store(false)
			c.eventually("the end of the isolation", func() bool { return !c.isIsolated(isolated) })
		})
	}
}
