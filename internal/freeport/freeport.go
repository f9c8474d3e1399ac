// Package freeport returns addresses for the listeners of tests that must be known before
// anything listens there. Listening on port 0, closing and listening again doesn't do:
// meanwhile an outgoing connection, or another process, may get the same port.
package freeport

import (
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

const (
	// lowestPort and endPort bound the ports. They lie below the ephemeral ports of the
	// operating system, from which it takes the ports of outgoing connections.
	lowestPort, endPort = 10_000, 32_000
	// blockPorts is the number of ports of a block.
	blockPorts = 500
)

// allocator hands out the ports of blocks that it has reserved. As long as it exists, it
// listens on the first port of each block, so that no other allocator, of this process or
// of another one, reserves the same.
type allocator struct {
	mu     sync.Mutex
	blocks []net.Listener
	// next is the next port of the last block, which ends before end.
	next, end int
}

var ofProcess allocator

// Address returns an address of a local IP on which nothing listens; see Port.
func Address(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(Port(ip))) }

// Port returns a port on which nothing listens at any of the local IPs. No other call
// returns it, in this process or another one. It panics if there is none, since a test
// can't go on then.
func Port(ips ...string) int {
	port, err := ofProcess.take(ips...)
	if err != nil {
		panic(err)
	}
	return port
}

// take returns the next port that is free.
func (a *allocator) take(ips ...string) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.next == a.end {
			if err := a.reserve(); err != nil {
				return 0, err
			}
		}
		port := a.next
		a.next++
		if !slices.ContainsFunc(ips, func(ip string) bool { return isInUse(ip, port) }) {
			return port, nil
		}
	}
}

// isInUse reports whether a port can't be listened on.
func isInUse(ip string, port int) bool {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return true
	}
	return l.Close() != nil
}

// reserve reserves another block.
func (a *allocator) reserve() error {
	for _, block := range rand.Perm((endPort - lowestPort) / blockPorts) {
		first := lowestPort + block*blockPorts
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first)))
		if err != nil {
			continue
		}
		a.blocks = append(a.blocks, l)
		a.next, a.end = first+1, first+blockPorts
		return nil
	}
	return errors.New("each block of ports is in use")
}
