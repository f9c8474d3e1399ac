package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// answer is what a client has received.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends one request on a new connection and waits for the answer.
func send(address, method, path, key, body string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0xabc0000000000000+attempts.Add(1))}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, a.err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, names["attempt"], a.id, names["deadline"], deadline.Milliseconds(), names["key"], key, len(body), body)
	if a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}
