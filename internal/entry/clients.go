package entry

import (
	"sync"

	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

// envelope is short for the message of all calls.
type envelope = wirepb.Envelope

// peerRef names an entry process and how to reach it.
type peerRef struct {
	id      string
	address string
}

// clientPool holds one client for each address.
type clientPool struct {
	opts wire.Options
	mu   sync.Mutex
	rows map[string]*wire.Client
}

func newClientPool(opts wire.Options) *clientPool {
	return &clientPool{opts: opts, rows: map[string]*wire.Client{}}
}

func (p *clientPool) get(address string) *wire.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.rows[address]
	if !ok {
		c = wire.NewClient(address, p.opts)
		p.rows[address] = c
	}
	return c
}

// keep closes the clients of all other addresses.
func (p *clientPool) keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.rows {
		if !addresses[address] {
			_ = c.Close()
			delete(p.rows, address)
		}
	}
}

func (p *clientPool) close() { p.keep(nil) }
