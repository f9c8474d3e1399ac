package dispatch

import (
	"fmt"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/wirepb"
)

// script runs the datadriven tests under testdata. Each core has a name. Backend servers
// announce themselves every 500 ms to the core that their last command names, and list
// the requests that were started on them as open.
type script struct {
	t            *testing.T
	disabled     mechanisms
	now          time.Duration
	view         *testView
	cores        map[string]*Core
	paused       map[string]bool
	configAge    time.Duration // age of the configuration at each tick
	backends     map[string]*scriptBackend
	members      map[string][]*wirepb.GrantMember
	dispatcherOf map[string]string // name of the core, by dispatch id
}

// scriptBackend is a backend server of a script.
type scriptBackend struct {
	core   string                // name of the core that it announces itself to
	silent bool                  // sends no announcements
	a      announce.Announcement // the next one
	open   map[string]bool       // ids of the open requests
}

func newScript(t *testing.T, disabled mechanisms) *script {
	return &script{
		t: t, disabled: disabled, view: newTestView(), cores: map[string]*Core{}, paused: map[string]bool{},
		backends: map[string]*scriptBackend{}, members: map[string][]*wirepb.GrantMember{}, dispatcherOf: map[string]string{},
	}
}

// setField sets a field of a struct from an argument such as Boot=2. name is the name
// of the field.
func (s *script) setField(target any, name string, a datadriven.CmdArg) {
	f := reflect.ValueOf(target).Elem().FieldByName(name)
	switch f.Kind() {
	case reflect.String:
		f.SetString(a.Vals[0])
	case reflect.Bool:
		f.SetBool(len(a.Vals) == 0 || a.Vals[0] == "true")
	case reflect.Float64:
		var x float64
		a.Scan(s.t, 0, &x)
		f.SetFloat(x)
	case reflect.Uint32, reflect.Uint64:
		var x uint64
		a.Scan(s.t, 0, &x)
		f.SetUint(x)
	case reflect.Slice:
		for _, v := range a.Vals {
			switch f.Type().Elem().Kind() {
			case reflect.Uint8:
				f.SetBytes([]byte(v))
			case reflect.Uint64:
				var x uint64
				_, err := fmt.Sscan(v, &x)
				if err != nil {
					s.t.Fatal(err)
				}
				f.Set(reflect.Append(f, reflect.ValueOf(x)))
			default:
				f.Set(reflect.Append(f, reflect.ValueOf(v)))
			}
		}
	default:
		s.t.Fatalf("no field %s", name)
	}
}

// duration parses the first value of an argument.
func (s *script) duration(a datadriven.CmdArg) time.Duration {
	d, err := time.ParseDuration(a.Vals[0])
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// core returns the core with a name and creates it if needed.
func (s *script) core(name string) *Core {
	c := s.cores[name]
	if c == nil {
		c = New(Config{Entry: name, Incarnation: 1, FailureDomain: "x", MaxQueue: 4})
		c.disabled = s.disabled
		c.SetView(s.view)
		s.cores[name] = c
		c.Tick(s.now)
	}
	return c
}

// advanceTo advances the clock in steps of 50 ms, with ticks and announcements.
func (s *script) advanceTo(end time.Duration) {
	for s.now < end {
		s.now += 50 * time.Millisecond
		if s.now%announce.Interval == 0 {
			for _, id := range slices.Sorted(maps.Keys(s.backends)) {
				s.announce(id)
			}
		}
		for _, n := range slices.Sorted(maps.Keys(s.cores)) {
			if !s.paused[n] {
				s.cores[n].SetConfigAge(s.configAge)
				s.cores[n].Tick(s.now)
			}
		}
	}
}

// announce sends the next announcement of a backend server, unless it is silent or its
// core is paused.
func (s *script) announce(id string) announce.Reply {
	b := s.backends[id]
	if b.silent || s.paused[b.core] {
		return announce.Reply{}
	}
	b.a.Sequence++
	b.a.Load.Open = slices.Sorted(maps.Keys(b.open))
	a := b.a
	b.a.PreviousOwner, b.a.PreviousReleased, b.a.Load.CacheEvents = "", false, nil
	return s.core(b.core).Announce(s.now, &a)
}

// handOver announces a backend server to a core that should release it to another
// dispatcher.
func (s *script) handOver(id string) string {
	b := s.backends[id]
	b.a.Sequence++
	a := b.a
	if s.core(b.core).HandOver(s.now, &a).Released {
		b.silent = true
		return "released\n"
	}
	return ""
}

// backend runs the command of that name: it creates or changes a backend server and
// sends an announcement.
func (s *script) backend(d *datadriven.TestData) string {
	id := d.CmdArgs[0].Key
	b := s.backends[id]
	if b == nil {
		b = &scriptBackend{core: "e0", open: map[string]bool{}}
		b.a = announce.Announcement{
			ID: id, Boot: 1, Address: id, FailureDomain: "x", Service: "svc", Kind: announce.KindModel,
			Models: []string{"m"}, MemoryTokens: 10000,
		}
		s.backends[id] = b
	}
	b.silent = false
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "core":
			b.core = a.Vals[0]
		case "silent":
			b.silent = true
		case "Open":
			b.open = map[string]bool{}
			for _, v := range a.Vals {
				if v != "" {
					b.open[v] = true
				}
			}
		case "Boot":
			s.setField(&b.a, a.Key, a)
			b.a.Sequence, b.open = 0, map[string]bool{}
		case "events":
			for _, v := range a.Vals {
				var e announce.CacheEvent
				if _, err := fmt.Sscanf(v, "%d:%d", &e.Sequence, &e.Hash); err != nil {
					s.t.Fatal(err)
				}
				b.a.Load.CacheEvents = append(b.a.Load.CacheEvents, e)
			}
		case "PrefillTokens", "MemoryUsedTokens", "Cold", "AgeMS":
			s.setField(&b.a.Load, a.Key, a)
		default:
			s.setField(&b.a, a.Key, a)
		}
	}
	if r := s.announce(id); r.Released {
		return "released\n"
	}
	return ""
}

// reserve runs the command of that name: it sends a Reserve for each id.
func (s *script) reserve(d *datadriven.TestData) {
	for _, id := range d.CmdArgs[0].Vals {
		r := &wirepb.Reserve{
			DispatchId: id, Account: "a", Service: "svc", FailureDomain: "x", Model: "m", Urgency: "normal",
			DeadlineMs: 60000, PromptTokens: 100, MaxOutputTokens: 100, Entry: "p0", EntryIncarnation: 1,
		}
		core := "e0"
		for _, a := range d.CmdArgs[1:] {
			if a.Key == "core" {
				core = a.Vals[0]
				continue
			}
			s.setField(r, a.Key, a)
		}
		s.dispatcherOf[id] = core
		s.core(core).Reserve(s.now, r)
	}
}

// progress runs the command of that name: it reports a step of dispatches. Started ones
// are listed in load reports until they end.
func (s *script) progress(d *datadriven.TestData) {
	elapsed := uint64(100)
	step := wirepb.Progress_Step(wirepb.Progress_Step_value["STEP_"+strings.ToUpper(d.CmdArgs[0].Key)])
	pause, leaving := uint64(0), false
	for _, a := range d.CmdArgs[2:] {
		if a.Key == "leaving" {
			leaving = true
			continue
		}
		if a.Key == "pause" {
			pause = uint64(s.duration(a).Milliseconds())
			continue
		}
		elapsed = uint64(s.duration(a).Milliseconds())
	}
	for _, id := range d.CmdArgs[1].Vals {
		m := &wirepb.Progress{
			DispatchId: id, Step: step, ElapsedMs: uint32(elapsed), OutputTokens: 10, PauseMs: uint32(pause), Leaving: leaving,
			FailureDomain: "x", Service: "svc",
		}
		for _, g := range s.members[id] {
			if step <= wirepb.Progress_STEP_FIRST_TOKEN {
				s.backends[g.Backend].open[id] = true
			} else {
				delete(s.backends[g.Backend].open, id)
			}
			m.Backend, m.Boot = g.Backend, g.Boot
		}
		s.core(s.dispatcherOf[id]).Progress(s.now, m)
	}
}

// actions formats the new actions of all cores.
func (s *script) actions() string {
	var out strings.Builder
	for _, n := range slices.Sorted(maps.Keys(s.cores)) {
		for _, a := range s.cores[n].TakeActions() {
			if r := a.Envelope.GetRefuse(); r != nil {
				fmt.Fprintf(&out, "%s refuses %s %s retry %d ms\n", n, r.DispatchId, r.Code, r.RetryAfterMs)
				continue
			}
			g := a.Envelope.GetGrant()
			s.members[g.DispatchId] = g.Members
			fmt.Fprintf(&out, "%s grants %s prio %d permit %d:", n, g.DispatchId, g.Priority, g.PermitMs)
			for _, m := range g.Members {
				fmt.Fprintf(&out, " %s(%d/%d)", m.Backend, m.PartTokens, m.ReservedTokens)
			}
			out.WriteString("\n")
		}
	}
	return out.String()
}

// state formats the tables of a core.
func (s *script) state(name string) string {
	var out strings.Builder
	for _, p := range s.core(name).Dump(s.now).(Dump).Pools {
		fmt.Fprintf(&out, "queued %d boundary %d long engines %d\n", p.Queued, p.Boundary, p.LongEngines)
		for _, b := range p.Backends {
			fmt.Fprintf(&out, "%s open %d foreign %d reserved %d budget %d ahead %.0f %s\n", b.ID, b.Open, b.Foreign, b.Reserved, b.Budget, b.WorkAhead, b.Why)
		}
	}
	return out.String()
}

// run runs one command and returns its output.
func (s *script) run(d *datadriven.TestData) string {
	out := ""
	switch d.Cmd {
	case "view":
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "exclude":
				s.view.excluded[a.Vals[0]] = true
			case "include":
				delete(s.view.excluded, a.Vals[0])
			case "domains":
				a.Scan(s.t, 0, &s.view.domains)
			case "age":
				s.configAge = s.duration(a)
			default:
				s.setField(&s.view.service, a.Key, a)
			}
		}
	case "limit":
		l := Limits{}
		for _, a := range d.CmdArgs[1:] {
			s.setField(&l, a.Key, a)
		}
		s.view.limits[d.CmdArgs[0].Key] = l
	case "backend":
		out = s.backend(d)
	case "reserve":
		s.reserve(d)
	case "progress":
		s.progress(d)
	case "cancel":
		for _, id := range d.CmdArgs[0].Vals {
			s.core("e0").Cancel(s.now, &wirepb.CancelReserve{DispatchId: id})
		}
	case "lost":
		s.core("e0").EntryLost(s.now, d.CmdArgs[0].Key, 1)
	case "open":
		s.core("e0").OpenRequests(s.now, &wirepb.OpenRequests{Entry: "p0", Incarnation: 1, DispatchIds: d.CmdArgs[0].Vals})
	case "suspect":
		m := &wirepb.Suspect{}
		for _, a := range d.CmdArgs {
			s.setField(m, a.Key, a)
		}
		for _, c := range s.cores {
			c.Suspect(s.now, m)
		}
	case "handover":
		out = s.handOver(d.CmdArgs[0].Key)
	case "release":
		s.core("e0").ReleasePools(s.now)
	case "freeze":
		s.paused[d.CmdArgs[0].Key] = true
	case "thaw":
		s.paused = map[string]bool{}
	case "wait":
		s.advanceTo(s.now + s.duration(datadriven.CmdArg{Vals: []string{d.CmdArgs[0].Key}}))
	case "state":
		out = s.state(d.CmdArgs[0].Key)
	default:
		s.t.Fatalf("unknown command %s", d.Cmd)
	}
	if out += s.actions(); out == "" {
		return "ok\n"
	}
	return out
}

// Checks each mechanism of the core under the faults that it protects against, one file
// each.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		seen := violations(t)
		s := newScript(t, mechanisms{})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			out := s.run(d)
			for _, v := range *seen {
				t.Errorf("%s: invariant %s", d.Pos, v)
			}
			return out
		})
	})
}

// Checks that each file fails when the mechanism that it tests is disabled.
func TestScriptsDetectMissingMechanisms(t *testing.T) {
	for file, disabled := range map[string]mechanisms{
		"takeover": {waitingPeriod: true}, "lease": {leaseCheck: true}, "exclusion": {exclusionCheck: true},
		"expiry": {expiry: true}, "cold": {coldBudget: true}, "aging": {aging: true}, "fairshare": {fairShare: true},
		"confinement": {confinement: true}, "suspicion": {suspicion: true}, "proving": {proving: true},
		"hold": {hold: true}, "group": {atomicGroups: true}, "ownwork": {ownGrants: true}, "cache": {gapCheck: true},
		"foreign": {foreignOpen: true}, "pause": {pauseDetection: true}, "abandon": {abandon: true},
	} {
		t.Run(file, func(t *testing.T) {
			violations(t)
			s := newScript(t, disabled)
			differs := false
			datadriven.RunTest(t, filepath.Join("testdata", file), func(t *testing.T, d *datadriven.TestData) string {
				s.t = t
				if out := s.run(d); out != d.Expected && !differs {
					differs = true
					t.Logf("%s: without the mechanism:\n%swith it:\n%s", d.Pos, out, d.Expected)
				}
				return d.Expected
			})
			if !differs {
				t.Errorf("%s passes without the mechanism", file)
			}
		})
	}
}
