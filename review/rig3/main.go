// Command rig3 runs the cases of an independent review: it starts the programs of a small
// deployment as separate processes on loopback addresses, plays clients, backend servers and
// the platform, and checks one rule of the users' pages.
//
// Usage: rig3 -programs DIR -record FILE [-trouble=false] CASE
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime limits one run, so that no process outlives it.
const maxRunTime = 115 * time.Second

// errBroken is wrapped by the error of a case that has found a broken rule.
var errBroken = errors.New("rule broken")

// brokenf returns an error that states how a rule was broken.
func brokenf(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errBroken}, args...)...)
}

// cases are the cases by name.
var cases = map[string]func(s *system, hasTrouble bool) error{}

func main() {
	programs := flag.String("programs", "target", "folder of the programs")
	recordFile := flag.String("record", "", "file for what was sent, answered and run")
	hasTrouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok || *recordFile == "" {
		fmt.Fprintln(os.Stderr, "usage: rig3 -programs DIR -record FILE [-trouble=false] CASE")
		os.Exit(2)
	}
	os.Exit(runCase(run, *programs, *recordFile, *hasTrouble))
}

// runCase runs a case and returns the exit code.
func runCase(run func(s *system, hasTrouble bool) error, programs, recordFile string, hasTrouble bool) int {
	s, err := newSystem(programs, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	done := make(chan error, 1)
	go func() { done <- run(s, hasTrouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("ended by a signal")
	case <-time.After(maxRunTime):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		s.logf("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		s.logf("result: %v", err)
		return 1
	}
	s.logf("result: the case couldn't run: %v", err)
	return 2
}
