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

// disturb starts random faults until the time is over.
func (k *soakRun) disturb(duration time.Duration) {
	rng := k.rng(0)
	for time.Since(k.begin) < duration {
		time.Sleep(between(rng, 200*time.Millisecond, 1200*time.Millisecond))
		switch n := rng.IntN(10); {
		case n < 4:
			k.entryFault(rng)
		case n < 6:
			k.stateFault(rng)
		default:
			k.engineFault(rng)
		}
	}
}

// occupy reserves a target for one fault; limit bounds the targets of its kind.
func (k *soakRun) occupy(kind, name string, limit int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for other := range k.busy {
		if strings.HasPrefix(other, kind) {
			n++
		}
	}
	if n >= limit || k.busy[name] {
		return false
	}
	k.busy[name] = true
	return true
}

// inject runs a fault with its repair in the background.
func (k *soakRun) inject(name, what string, run func() error) {
	k.note("%s: %s", name, what)
	k.faults.Go(func() {
		if err := run(); err != nil {
			k.t.Errorf("at %v: %s: %s: %v", k.at(), name, what, err)
		}
		k.note("%s: end of %s", name, what)
		k.mu.Lock()
		delete(k.busy, name)
		k.mu.Unlock()
	})
}

func (k *soakRun) entryFault(rng *rand.Rand) {
	e := k.entries[rng.IntN(len(k.entries))]
	kind, down, pauseFor := rng.IntN(4), between(rng, 100*time.Millisecond, 3*time.Second), between(rng, 100*time.Millisecond, longestPause)
	if !k.occupy("entry-", e.name, mostEntriesDown) {
		return
	}
	switch kind {
	case 0:
		k.inject(e.name, "SIGTERM", func() error { return k.terminate(e.process, e.admin, drainLimit, down) })
	case 1:
		k.inject(e.name, "SIGKILL", func() error { return killFor(e.process, down, nil) })
	default:
		k.inject(e.name, fmt.Sprintf("SIGSTOP for %v", pauseFor), func() error { pauseFrom(e.process, pauseFor); return nil })
	}
}

// stateFault disturbs one state process at a time, a minority.
func (k *soakRun) stateFault(rng *rand.Rand) {
	p := k.states[rng.IntN(len(k.states))]
	kind, down, pauseFor := rng.IntN(5), between(rng, 100*time.Millisecond, 3*time.Second), between(rng, 100*time.Millisecond, longestPause)
	if !k.occupy("state-", p.name, 1) {
		return
	}
	switch kind {
	case 0:
		k.inject(p.name, "SIGTERM", func() error { return k.terminate(p.process, p.admin, patience, down) })
	case 1:
		k.inject(p.name, "SIGKILL", func() error { return killFor(p.process, down, nil) })
	case 2:
		k.inject(p.name, "SIGKILL and loss of the disk", func() error { return k.loseDisk(p, down) })
	default:
		k.inject(p.name, fmt.Sprintf("SIGSTOP for %v", pauseFor), func() error { pauseFrom(p.process, pauseFor); return nil })
	}
}

func pauseFrom(p *process, d time.Duration) {
	pause(p)
	time.Sleep(d)
	resume(p)
}

func killFor(p *process, down time.Duration, between func() error) error {
	if err := p.kill(); err != nil {
		return err
	}
	if between != nil {
		if err := between(); err != nil {
			return err
		}
	}
	time.Sleep(down)
	return p.start()
}

// terminate stops a process that has started up: before that it has no handler
// for the signal and nothing to interrupt.
func (k *soakRun) terminate(p *process, admin string, limit, down time.Duration) error {
	if !holds(patience, func() bool { _, err := k.fetch(admin, "/metrics"); return err == nil }) {
		return fmt.Errorf("not started within %v", patience)
	}
	p.signal(syscall.SIGTERM)
	if !p.wait(limit) {
		return fmt.Errorf("not exited %v after SIGTERM", limit)
	}
	if code := p.exitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	time.Sleep(down)
	return p.start()
}

// loseDisk ends when the replica is a voter again, because the loss of another
// one before that is the loss of a majority.
func (k *soakRun) loseDisk(p *stateProcess, down time.Duration) error {
	var lost string
	if !holds(patience, func() bool { lost, _ = k.voter(p.name); return lost != "" }) {
		return fmt.Errorf("not a voter within %v before the loss", patience)
	}
	if err := killFor(p.process, down, func() error { return os.RemoveAll(p.data) }); err != nil {
		return err
	}
	if !holds(patience, func() bool { return k.rejoined(p.name, lost) }) {
		return fmt.Errorf("not a voter within %v after the loss", patience)
	}
	return nil
}

// engineFault disturbs a simulated engine or plain service.
func (k *soakRun) engineFault(rng *rand.Rand) {
	p := k.standins[rng.IntN(len(k.standins))]
	id, count := p.engines[rng.IntN(len(p.engines))], 1+rng.IntN(3)
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
		id = p.plain
		fault = slices.DeleteFunc(faults, func(f map[string]any) bool { return f["cold"] != nil || f["cross_id_next"] != nil })[rng.IntN(9)]
	}
	d := between(rng, 300*time.Millisecond, 4*time.Second)
	if !k.occupy("backend server ", "backend server "+id, 3) {
		return
	}
	k.inject("backend server "+id, fmt.Sprint(fault), func() error {
		if fault["cold"] != nil {
			k.turnCold(p, id, fault)
			return nil
		}
		k.setFaults(p, id, fault)
		if fault["silent"] != nil || fault["refuse"] != nil {
			time.Sleep(d)
			k.setFaults(p, id, map[string]any{"silent": false, "refuse": false})
		}
		return nil
	})
}

// turnCold remembers the boot that is cold by the fault.
func (k *soakRun) turnCold(p *standinProcess, id string, fault map[string]any) {
	remember := func() {
		d := k.stats()[id]
		k.mu.Lock()
		k.coldFaults[bootKey(id, d.Boot)] = true
		k.mu.Unlock()
	}
	remember()
	k.setFaults(p, id, fault)
	// A reboot in between makes the next boot the one that the fault hit; that
	// boot is cold anyway.
}
