package freeport

import (
	"fmt"
	"os"
	"testing"
)

// Guards against a port that another test process gets too, or that an outgoing
// connection takes before the test listens there ("address already in use").
func TestPortsAreOfOneTestOnly(t *testing.T) {
	lowestEphemeral := 0
	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err != nil {
		t.Fatal(err)
	} else if _, err := fmt.Sscan(string(data), &lowestEphemeral); err != nil {
		t.Fatal(err)
	}
	const perProcess = blockPorts + 10
	taken := map[int]int{}
	var processes [3]allocator
	for range perProcess {
		for p := range processes {
			port, err := processes[p].take("127.0.0.1", "127.0.3.1")
			if err != nil {
				t.Fatal(err)
			}
			if other, ok := taken[port]; ok {
				t.Fatalf("processes %d and %d both get port %d", other, p, port)
			}
			taken[port] = p
			if port >= lowestEphemeral {
				t.Fatalf("port %d is an ephemeral port", port)
			}
		}
	}
	for p := range processes {
		for _, block := range processes[p].blocks {
			_ = block.Close()
		}
	}
}
