package wire

import "sync"

// Pool holds one client for each address. It is safe for concurrent use.
type Pool struct {
	opts Options
	mu   sync.Mutex
	rows map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool { return &Pool{opts: opts, rows: map[string]*Client{}} }

// Get returns the client of an address, which has not necessarily dialled.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.rows[address]
	if !ok {
		c = NewClient(address, p.opts)
		p.rows[address] = c
	}
	return c
}

// Keep closes the clients of all other addresses.
func (p *Pool) Keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.rows {
		if !addresses[address] {
			_ = c.Close()
			delete(p.rows, address)
		}
	}
}

// Drop ends all calls to an address. The next Get returns a new client.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	c := p.rows[address]
	delete(p.rows, address)
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Close closes all clients.
func (p *Pool) Close() { p.Keep(nil) }
