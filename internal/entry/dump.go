package entry

import (
	"context"
	"time"

	"bilberryhub/internal/peers"
)

// dumpTimeout bounds the wait for the control goroutine.
const dumpTimeout = 2 * time.Second

// stateDump is the document that the admin endpoint returns as state dump.
type stateDump struct {
	Process       string `json:"process"`
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	UptimeMS      int64  `json:"uptime_ms"`
	Pauses        uint64 `json:"pauses"`
	// Isolated is set if this process can connect to no backend server itself, and
	// ConnectionsForPeers counts those that it holds for other entry processes.
	Isolated            bool  `json:"isolated"`
	ConnectionsForPeers int64 `json:"connections_for_peers"`
	Config              any   `json:"config"`
	// States are the addresses of the state processes that are known.
	States   []string       `json:"state_processes"`
	Requests []requestState `json:"requests"`
	Peers    []peers.Peer   `json:"peers"`
	Pools    any            `json:"pools"`
	Routing  any            `json:"routing"`
	Claims   any            `json:"claims"`
}

// dump returns the state dump. If the control goroutine does not respond in time, it
// returns an error.
func (s *Server) dump() (any, error) {
	d := &stateDump{
		Process: "entry", ID: s.settings.ID, FailureDomain: s.settings.FailureDomain,
		Incarnation: s.incarnation, UptimeMS: time.Since(s.started).Milliseconds(),
		Config: s.sync.Status(), Requests: s.requests.dump(time.Now()), Claims: s.claims.Status(), States: s.states.all(),
		Isolated: s.isolation.isIsolated(), ConnectionsForPeers: s.connects.Open(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	err := s.loop.do(ctx, func(c *control) {
		d.Peers = c.peers.Live()
		d.Pools = c.core.Dump(c.now())
		d.Routing = c.router.Dump(c.now())
		d.Pauses = c.pauses
	})
	return d, err
}
