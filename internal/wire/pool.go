package wire

import "sync"

// Pool holds one client for each address. It is safe for concurrent use.
type Pool struct {
	opts    Options
	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool { return &Pool{opts: opts, clients: map[string]*Client{}} }

// Get returns the client of an address, which may not have dialled yet.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = NewClient(address, p.opts)
		p.clients[address] = c
	}
	return c
}

// CloseExcept closes the clients of all addresses that are not in addresses.
func (p *Pool) CloseExcept(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !addresses[address] {
			_ = c.Close()
			delete(p.clients, address)
		}
	}
}

// Drop closes the client of an address, with all its calls. The next Get returns
// a new client.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	c := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Close closes all clients.
func (p *Pool) Close() { p.CloseExcept(nil) }
