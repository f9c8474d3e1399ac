package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// answer is what a caller has received.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	// whole is set if the answer ended as complete.
	whole bool
	err   error
	took  time.Duration
}

func (a answer) String() string {
	body := a.body
	if len(body) > 80 {
		body = fmt.Sprintf("%.60q and %d bytes more", body, len(body)-60)
	}
	return fmt.Sprintf("%s: status %d, whole %v, seal %q, %s, %v, %d ms", a.id, a.status, a.whole, a.seal, body, a.err, a.took.Milliseconds())
}

// requestText returns a request with a new id and no body.
func requestText(method, path, key string, deadline time.Duration) (id, text string) {
	id = fmt.Sprintf("%08x", attempts.Add(1))
	text = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\n", method, path, names.Attempt, id, names.Deadline, deadline.Milliseconds())
	if key != "" {
		text += fmt.Sprintf("%s: %s\r\n", names.Key, key)
	}
	if method == http.MethodPost {
		text += "Content-Length: 4\r\n\r\nbody"
		return id, text
	}
	return id, text + "\r\n"
}

// request sends one request on a new connection and reads the answer. onEvent, if set, is
// called with the number of events so far when one has been received.
func request(address, method, path, key string, deadline time.Duration, onEvent func(n int)) answer {
	id, text := requestText(method, path, key, deadline)
	a := answer{id: id}
	begin := time.Now()
	defer func() { a.took = time.Since(begin) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if _, err := io.WriteString(conn, text); err != nil {
		a.err = err
		return a
	}
	return readAnswer(a, bufio.NewReader(conn), method, onEvent)
}

// readAnswer reads the answer to a request.
func readAnswer(a answer, r *bufio.Reader, method string, onEvent func(n int)) answer {
	begin := time.Now()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.seal = resp.StatusCode, resp.Header.Get(names.Seal)
	var b strings.Builder
	buf := make([]byte, 4096)
	events := 0
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if got := strings.Count(b.String(), "\n\n"); got > events && onEvent != nil {
			events = got
			onEvent(got)
		}
		if err == io.EOF {
			a.whole = true
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.body, a.took = b.String(), time.Since(begin)
	return a
}
