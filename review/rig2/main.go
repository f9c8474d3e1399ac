// Command review-2 runs the scripts of the second review: it starts control processes,
// gateways and replicas on loopback addresses, disturbs them, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 118 * time.Second

// current is the system of the case that runs.
var current atomic.Pointer[System]

// scenario runs one case and reports whether the rule was broken.
type scenario func(record *Record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"late-end":    lateEnd,
	"long-outage": longOutage,
	"heads":       heads,
	"channels":    manyChannels,
	"silence":     silence,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		if err := runReplica(os.Args[2]); err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		return 0
	}
	if len(os.Args) == 5 && os.Args[1] == "crowd" {
		connections, _ := strconv.Atoi(os.Args[3])
		headBytes, _ := strconv.Atoi(os.Args[4])
		if err := runCrowd(os.Args[2], connections, headBytes); err != nil {
			return exitNotRun
		}
		return 0
	}
	name := flag.String("case", "", "the case to run")
	path := flag.String("record", "", "the file for the record")
	flag.Parse()
	play := scenarios[*name]
	file, err := os.Create(*path)
	if err != nil || play == nil {
		fmt.Println("no such case, or no record:", *name, err)
		return exitNotRun
	}
	defer file.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
			fmt.Println("could not run: the time is over")
		}
		if s := current.Load(); s != nil {
			s.close()
		}
		os.Exit(exitNotRun)
	}()
	record := &Record{file: file, begin: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Line("case %s, trouble %v", *name, trouble)
	broken, err := play(record, trouble)
	switch {
	case err != nil:
		record.Line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		record.Line("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.Line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// startSystem starts control processes and gateways, and puts a first desired state in force.
func startSystem(record *Record, controls, gateways, tolerated, memoryMB int) (*System, error) {
	s, err := newSystem(record, tolerated)
	if err != nil {
		return nil, err
	}
	if memoryMB > 0 {
		s.memoryMB = memoryMB
	}
	return s, s.startAll(controls, gateways)
}

// startAll starts control processes and gateways, and puts a first desired state in force.
func (s *System) startAll(controls, gateways int) error {
	for n := range controls {
		if _, err := s.addControl(1+n, true, s.seeds()); err != nil {
			return err
		}
	}
	for n := range gateways {
		if _, err := s.addGateway(1 + n); err != nil {
			return err
		}
	}
	if status, _ := s.operate("PUT", names.Config, s.desired(callerKey), s.seeds(), 20*time.Second); status != 200 {
		return fmt.Errorf("the first desired state has status %d", status)
	}
	return nil
}
