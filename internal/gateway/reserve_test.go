package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"bilberryhub/internal/bootclock"
)

// A backend server answers a call about a reservation, and sends a second copy of that
// answer when the connection is used again. The copy must not be taken for the answer to
// the next call: these answers don't name their call.
func TestLateCopyIsNotTheAnswerToTheNextReservation(t *testing.T) {
	s := newSetup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			status := "200 OK"
			if n > 0 {
				status = "409 Conflict" // no memory is left for the second reservation
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status)
				}
			}()
		}
	}()
	holder := s.announce("holder", "model", "a", l.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout*5)
	defer cancel()
	began := bootclock.Now()
	if err := s.g.reserveOne(ctx, reservation{id: "r1", holder: holder, tokens: 10}); err != nil {
		t.Fatal(err)
	}
	if err := s.g.reserveOne(ctx, reservation{id: "r2", holder: holder, tokens: 10}); err == nil {
		t.Errorf("a reservation that was refused counts as made, after %s", bootclock.Now()-began)
	}
}
