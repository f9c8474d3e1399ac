package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// runCrowd opens connections to an address and sends the beginning of a request head of
// headBytes bytes on each; with 0, a whole request whose answer it reads. It keeps them open
// until its standard input ends, and prints how many it has.
func runCrowd(address string, connections, headBytes int) error {
	var open []net.Conn
	for i, failures := 0, 0; len(open) < connections && failures < maxCrowdFailures; i++ {
		conn, err := openInCrowd(address, i, headBytes)
		if err != nil {
			failures++
			fmt.Println("connection", i, err)
			continue
		}
		open, failures = append(open, conn), 0
	}
	fmt.Println("open:", len(open))
	_, _ = io.Copy(io.Discard, os.Stdin)
	return nil
}

// maxCrowdFailures is the number of failed connections in a row after which a crowd opens no
// more.
const maxCrowdFailures = 3

// openInCrowd opens connection i of a crowd.
func openInCrowd(address string, i, headBytes int) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if headBytes > 0 {
		head := "POST /set/1 HTTP/1.1\r\nHost: a.example\r\n"
		for n := 0; len(head) < headBytes; n++ {
			head += fmt.Sprintf("X-Field-%d: %s\r\n", n, strings.Repeat("v", 1000))
		}
		_, err = io.WriteString(conn, head[:headBytes])
	} else {
		id, text := requestText(http.MethodGet, "/read/1", callerKey, time.Second)
		text = strings.Replace(text, id, fmt.Sprintf("%s%d-%d", crowdPrefix, os.Getpid(), i), 1)
		if _, err = io.WriteString(conn, text); err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// crowdPrefix begins the ids of the requests of crowds.
const crowdPrefix = "crowd-"

// crowd is a process that holds connections of untrusted callers.
type crowd struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// startCrowd starts a crowd and waits until it has opened its connections.
func (s *System) startCrowd(address string, connections, headBytes int) (*crowd, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &crowd{cmd: exec.Command(program, "crowd", address, strconv.Itoa(connections), strconv.Itoa(headBytes))}
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		s.record.Line("crowd at %s: %s", address, lines.Text())
		if strings.HasPrefix(lines.Text(), "open:") {
			break
		}
	}
	return c, nil
}

func (c *crowd) end() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// anonMemory returns the anonymous resident memory of a process, in MiB.
func (p *Process) anonMemory() float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of a process.
func (p *Process) descriptors() int {
	list, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	return len(list)
}
