package e2e

import (
	"context"
	"net"
	"sync"
	"time"
)

// network simulates partitions between failure domains.
type network struct {
	mu sync.Mutex
	// domain is the failure domain of each address.
	domain map[string]string
	// isolated holds the failure domains that are partitioned from all others.
	isolated map[string]bool
	// conns holds the open connections.
	conns map[*partitionConn]bool
}

func newNetwork() *network {
	return &network{domain: map[string]string{}, isolated: map[string]bool{}, conns: map[*partitionConn]bool{}}
}

// setDomain assigns an address to a failure domain.
func (n *network) setDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domain[address] = domain
}

// setIsolated partitions a failure domain from all others, or heals the partition.
// It closes the open connections that cross a partition.
func (n *network) setIsolated(domain string, isolated bool) {
	n.mu.Lock()
	n.isolated[domain] = isolated
	var severed []*partitionConn
	for conn := range n.conns {
		if !n.isReachable(conn.from, conn.to) {
			severed = append(severed, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range severed {
		_ = conn.Close()
	}
}

// isReachable reports whether no partition separates two failure domains. The
// caller holds n.mu.
func (n *network) isReachable(from, to string) bool {
	return from == to || (!n.isolated[from] && !n.isolated[to])
}

// partitionConn is a connection that the network closes when a partition separates
// its ends.
type partitionConn struct {
	net.Conn
	net      *network
	from, to string
}

func (c *partitionConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// dialer returns the dial function for processes of a failure domain. A dial
// across a partition gets no response and times out after one second.
func (n *network) dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.domain[address]
		ok := n.isReachable(from, to)
		n.mu.Unlock()
		if !ok {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &partitionConn{Conn: conn, net: n, from: from, to: to}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		return c, nil
	}
}
