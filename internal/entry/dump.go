package entry

import (
	"context"
	"time"

	"bilberryhub/internal/peers"
)

// dumpTimeout bounds the wait for the control goroutine.
const dumpTimeout = 2 * time.Second

// stateDump is the state dump of an entry process.
type stateDump struct {
	Process       string       `json:"process"`
	ID            string       `json:"id"`
	FailureDomain string       `json:"failure_domain"`
	Incarnation   uint64       `json:"incarnation"`
	UptimeMS      int64        `json:"uptime_ms"`
	Pauses        uint64       `json:"pauses"`
	Config        any          `json:"config"`
	Requests      []requestRow `json:"requests"`
	Peers         []peers.Peer `json:"peers"`
	Pools         any          `json:"pools"`
	Routing       any          `json:"routing"`
	Claims        any          `json:"claims"`
}

func (s *Server) dump() (any, error) {
	d := &stateDump{
		Process: "entry", ID: s.settings.ID, FailureDomain: s.settings.FailureDomain,
		Incarnation: s.incarnation, UptimeMS: time.Since(s.started).Milliseconds(),
		Config: s.sync.Status(), Requests: s.requests.dump(time.Now()), Claims: s.claims.Status(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	err := s.loop.do(ctx, func(c *control) {
		d.Peers = c.peers.Live()
		d.Pools = c.core.Dump(c.now())
		d.Routing = c.router.Dump(c.now())
		d.Pauses = c.frozen
	})
	return d, err
}
