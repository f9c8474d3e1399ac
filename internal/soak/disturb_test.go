package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// injectFaults starts random faults until duration has passed since the start of
// the run. It returns while faults may still be in progress.
func (s *soakRun) injectFaults(duration time.Duration) {
	rng := s.rng(0)
	for time.Since(s.startTime) < duration {
		time.Sleep(randomDuration(rng, 200*time.Millisecond, 1200*time.Millisecond))
		switch n := rng.IntN(10); {
		case n < 4:
			s.injectEntryFault(rng)
		case n < 6:
			s.injectStateFault(rng)
		default:
			s.injectBackendFault(rng)
		}
	}
}

// tryAcquireTarget reserves a target for one fault, and reports whether it could.
// It fails if the target already has a fault, or if limit targets whose names begin
// with kind have one.
func (s *soakRun) tryAcquireTarget(kind, name string, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for other := range s.activeTargets {
		if strings.HasPrefix(other, kind) {
			n++
		}
	}
	if n >= limit || s.activeTargets[name] {
		return false
	}
	s.activeTargets[name] = true
	return true
}

// inject runs a fault and its repair in the background, and releases the target
// afterwards.
func (s *soakRun) inject(name, what string, run func() error) {
	s.logEvent("%s: %s", name, what)
	s.activeFaults.Go(func() {
		if err := run(); err != nil {
			s.t.Errorf("at %v: %s: %s: %v", s.elapsed(), name, what, err)
		}
		s.logEvent("%s: end of %s", name, what)
		s.mu.Lock()
		delete(s.activeTargets, name)
		s.mu.Unlock()
	})
}

// injectEntryFault injects a fault into one entry process: a planned stop, a kill or
// a pause.
func (s *soakRun) injectEntryFault(rng *rand.Rand) {
	e := s.entries[rng.IntN(len(s.entries))]
	kind, downtime, pauseTime := rng.IntN(4), randomDuration(rng, 100*time.Millisecond, 3*time.Second), randomDuration(rng, 100*time.Millisecond, maxPause)
	if !s.tryAcquireTarget("entry-", e.name, maxFaultyEntries) {
		return
	}
	switch kind {
	case 0:
		s.inject(e.name, "SIGTERM", func() error { return s.terminate(e.process, e.admin, drainTimeout, downtime) })
	case 1:
		s.inject(e.name, "SIGKILL", func() error { return killFor(e.process, downtime, nil) })
	default:
		s.inject(e.name, fmt.Sprintf("SIGSTOP for %v", pauseTime), func() error { pauseFor(e.process, pauseTime); return nil })
	}
}

// injectStateFault injects a fault into one state process. Only one at a time has a
// fault, so that a majority is left.
func (s *soakRun) injectStateFault(rng *rand.Rand) {
	p := s.states[rng.IntN(len(s.states))]
	kind, downtime, pauseTime := rng.IntN(5), randomDuration(rng, 100*time.Millisecond, 3*time.Second), randomDuration(rng, 100*time.Millisecond, maxPause)
	if !s.tryAcquireTarget("state-", p.name, 1) {
		return
	}
	switch kind {
	case 0:
		s.inject(p.name, "SIGTERM", func() error { return s.terminate(p.process, p.admin, conditionTimeout, downtime) })
	case 1:
		s.inject(p.name, "SIGKILL", func() error { return killFor(p.process, downtime, nil) })
	case 2:
		s.inject(p.name, "SIGKILL and loss of the disk", func() error { return s.loseDisk(p, downtime) })
	default:
		s.inject(p.name, fmt.Sprintf("SIGSTOP for %v", pauseTime), func() error { pauseFor(p.process, pauseTime); return nil })
	}
}

// pauseFor pauses a process for d.
func pauseFor(p *process, d time.Duration) {
	pause(p)
	time.Sleep(d)
	resume(p)
}

// killFor kills a process and restarts it after the downtime. whileDown, if set,
// runs after the process has exited.
func killFor(p *process, downtime time.Duration, whileDown func() error) error {
	if err := p.kill(); err != nil {
		return err
	}
	if whileDown != nil {
		if err := whileDown(); err != nil {
			return err
		}
	}
	time.Sleep(downtime)
	return p.start()
}

// terminate stops a process with SIGTERM, expects it to exit with code 0 within
// limit, and restarts it after the downtime. It first waits until the process has
// started up: before that it has no handler for the signal and nothing to
// interrupt.
func (s *soakRun) terminate(p *process, admin string, limit, downtime time.Duration) error {
	if !waitUntil(conditionTimeout, func() bool { _, err := s.fetch(admin, "/metrics"); return err == nil }) {
		return fmt.Errorf("not started within %v", conditionTimeout)
	}
	p.signal(syscall.SIGTERM)
	if !p.waitExit(limit) {
		return fmt.Errorf("not exited %v after SIGTERM", limit)
	}
	if code := p.exitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	time.Sleep(downtime)
	return p.start()
}

// loseDisk kills a state process and removes its data directory. It returns when
// the replica is a voter again, because the loss of another replica before that
// would be the loss of a majority.
func (s *soakRun) loseDisk(p *stateProcess, downtime time.Duration) error {
	var lostIdentity string
	if !waitUntil(conditionTimeout, func() bool { lostIdentity, _ = s.voter(p.name); return lostIdentity != "" }) {
		return fmt.Errorf("not a voter within %v before the loss", conditionTimeout)
	}
	if err := killFor(p.process, downtime, func() error { return os.RemoveAll(p.dataDir) }); err != nil {
		return err
	}
	if !waitUntil(conditionTimeout, func() bool { return s.hasRejoined(p.name, lostIdentity) }) {
		return fmt.Errorf("not a voter within %v after the loss", conditionTimeout)
	}
	return nil
}

// injectBackendFault injects a fault into a simulated engine or plain service.
func (s *soakRun) injectBackendFault(rng *rand.Rand) {
	p := s.standins[rng.IntN(len(s.standins))]
	id, count := p.engineIDs[rng.IntN(len(p.engineIDs))], 1+rng.IntN(3)
	faults := []map[string]any{
		{"crash": true},
		{"hang_next": count, "hang_after_tokens": 1 + rng.IntN(5)},
		{"cold": true, "cold_reported": true},
		{"cold": true, "cold_reported": false},
		{"truncate_next": count},
		{"wrong_id_next": count},
		{"cross_id_next": count},
		{"duplicate_next": count},
		{"drop_next": count},
		{"drop_after_run_next": count},
		{"silent": true},
		{"refuse": true},
	}
	fault := faults[rng.IntN(len(faults))]
	if rng.IntN(4) == 0 {
		id = p.plainID
		fault = slices.DeleteFunc(faults, func(f map[string]any) bool { return f["cold"] != nil || f["cross_id_next"] != nil })[rng.IntN(9)]
	}
	d := randomDuration(rng, 300*time.Millisecond, 4*time.Second)
	if !s.tryAcquireTarget("backend server ", "backend server "+id, 3) {
		return
	}
	s.inject("backend server "+id, fmt.Sprint(fault), func() error {
		if fault["cold"] != nil {
			s.makeCold(p, id, fault)
			return nil
		}
		s.setFaults(p, id, fault)
		if fault["silent"] != nil || fault["refuse"] != nil {
			time.Sleep(d)
			s.setFaults(p, id, map[string]any{"silent": false, "refuse": false})
		}
		return nil
	})
}

// makeCold makes an engine cold and records the boot that the fault made cold.
func (s *soakRun) makeCold(p *standinProcess, id string, fault map[string]any) {
	recordBoot := func() {
		d := s.engineStats()[id]
		s.mu.Lock()
		s.coldByFault[bootKey(id, d.Boot)] = true
		s.mu.Unlock()
	}
	recordBoot()
	s.setFaults(p, id, fault)
	// If the engine reboots between the two calls, the fault applies to the next
	// boot instead, which is cold anyway.
}
