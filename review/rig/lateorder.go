package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// evacuateTime is evacuate-ms of the site file. maxStretch is its max-stretch-ms,
	// by which an unstable core may stretch the bound.
	evacuateTime = 5 * time.Second
	maxStretch   = 5 * time.Second
	// watchTime is how long requests are sent after the acknowledgement.
	watchTime = evacuateTime + maxStretch + 500*time.Millisecond
	// standstill is how long the control process stands still; the site file has 4 s.
	standstill = 2500 * time.Millisecond
)

// follower returns the number of a control process that doesn't lead.
func (d *deployment) follower() (int, error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, p := range d.controls {
			var dump struct {
				Raft struct {
					Role   string
					Leader string
				}
			}
			status, text := call(http.MethodGet, fmt.Sprintf("http://%s:9464/dump", p.ip), "")
			if status == http.StatusOK && json.Unmarshal([]byte(text), &dump) == nil && dump.Raft.Role == "follower" && dump.Raft.Leader != "" {
				return i, nil
			}
		}
	}
	return 0, fmt.Errorf("no follower found")
}

// sendAll sends requests through all gateways until stop is closed.
func (d *deployment) sendAll(stop chan struct{}) {
	for g := range d.gateways {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := send(d.callerAddress(g), http.MethodGet, "/lookup/x", "k1", "", time.Second)
				d.record.add("%s answers %s with status %d, %d bytes, error %v", d.gateways[g].name, a.id, a.status, len(a.body), a.err)
			}
		}()
	}
}

// orderRounds is the number of rounds of lateOrder. Each ends after watchTime.
const orderRounds = 7

// lateOrder: an order of the operator waits at a control process that stands still. The
// operator sends it again to another one, and later sends the opposite order; both are
// acknowledged. Then the process goes on. Rounds follow until the rule is broken.
func lateOrder(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return false, err
	}
	if err := d.operate(http.MethodPut, names["config_path"], fill(configTemplate, map[string]any{"Version": 1, "Keys": `"k1"`})); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	ran := &runs{last: map[string]time.Time{}}
	if err := d.startServers(ran, stop); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	d.sendAll(stop)
	for round := range orderRounds {
		rec.add("round %d", round+1)
		broken, err := d.lateOrderRound(ran, trouble)
		if broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

// order sends an order of the operator to one control process, and reports whether it was
// acknowledged.
func (d *deployment) order(method, domain string, i int) bool {
	path := names["evacuations_path"] + domain
	d.record.add("operator sends %s %s to %s", method, path, d.controls[i].name)
	status, text := call(method, d.controlURL(i)+path, "")
	d.record.add("operator gets status %d %s", status, text)
	return status == http.StatusOK
}

// lateOrderRound is one round of lateOrder.
func (d *deployment) lateOrderRound(ran *runs, trouble bool) (bool, error) {
	f, err := d.follower()
	if err != nil {
		return false, err
	}
	domain, still, other := domains[0], d.controls[f], (f+1)%len(d.controls)
	if !d.order(http.MethodPost, domain, other) {
		return false, fmt.Errorf("the first evacuation wasn't acknowledged")
	}
	time.Sleep(time.Second)
	since := time.Now()
	if trouble {
		d.record.add("%s stands still", still.name)
		still.signal(syscall.SIGSTOP)
	}
	if !d.order(http.MethodDelete, domain, f) && !d.order(http.MethodDelete, domain, other) {
		return false, fmt.Errorf("the end of the evacuation wasn't acknowledged")
	}
	time.Sleep(500 * time.Millisecond)
	if !d.order(http.MethodPost, domain, other) {
		return false, fmt.Errorf("the second evacuation wasn't acknowledged")
	}
	acked := time.Now()
	time.Sleep(time.Until(since.Add(standstill)))
	if trouble {
		d.record.add("%s goes on", still.name)
		still.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(acked.Add(watchTime)))
	late := ran.lastAt(domain).Sub(acked)
	d.record.add("last request at a backend server in %s: %.3f s after the acknowledgement of its evacuation", domain, late.Seconds())
	return late > evacuateTime+maxStretch, nil
}
