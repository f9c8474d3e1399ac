package fleetfeed

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberryhub/internal/fleet"
	"bilberryhub/internal/wirepb"
)

// view is what a subscriber knows from the updates that it has received.
type view struct {
	position uint64
	servers  map[string]bool // id: gone
	gateways map[string]uint64
	received int
}

func (v *view) merge(u *wirepb.FleetUpdate) {
	v.received++
	if u.GetComplete() {
		v.servers, v.gateways = map[string]bool{}, map[string]uint64{}
	}
	for _, b := range u.GetBackendServers() {
		v.servers[b.GetId()] = b.GetGone()
	}
	for _, g := range u.GetGateways() {
		v.gateways[g.GetId()] = g.GetIncarnation()
	}
	for _, id := range u.GetDepartedGateways() {
		delete(v.gateways, id)
	}
}

// take receives all updates that the feed has for the subscriber.
func (v *view) take(f *Feed, now time.Duration) {
	updates, last := f.After(v.position, now)
	for _, u := range updates {
		v.merge(u.Envelope().GetFleetUpdate())
	}
	v.position = last
}

// Whatever the order of changes, joins, departures and reads, a subscriber that has
// read everything knows what the control process knows: also one that joined late, fell
// behind the kept updates, or joined while complete updates are shared.
func TestSubscribersAgreeWithTheFeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		f := New(now)
		views := map[string]*view{}
		want := map[string]uint64{}
		sequence, incarnation := uint64(0), uint64(0)
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			f.Build(now)
			name := names.Draw(t, "name")
			switch rapid.SampledFrom([]string{"announce", "leave", "join", "depart", "read", "read"}).Draw(t, "step") {
			case "announce":
				sequence++
				f.Announce(fleet.BackendServer{ID: "s-" + name, Address: name, BornMs: 1, Sequence: sequence, SeenAt: now})
			case "leave":
				f.Leave("s-"+name, 1, now)
			case "join":
				incarnation++
				f.Subscribe(&wirepb.GatewayInfo{Id: name, Incarnation: incarnation})
				if want[name] != 0 {
					f.Unsubscribe(name) // the old subscription of the same gateway
				}
				want[name], views[name] = incarnation, &view{}
			case "depart":
				if want[name] != 0 {
					f.Unsubscribe(name)
					delete(want, name)
					delete(views, name)
				}
			case "read":
				if v := views[name]; v != nil {
					v.take(f, now)
				}
			}
		}
		now += RegularInterval
		f.Build(now)
		for name, v := range views {
			v.take(f, now)
			if !maps.Equal(v.gateways, want) {
				t.Fatalf("%s knows the gateways %v, want %v", name, v.gateways, want)
			}
			for _, b := range f.Servers() {
				if gone, ok := v.servers[b.ID]; !ok || gone != b.Gone {
					t.Fatalf("%s has %s as gone=%t known=%t, want gone=%t", name, b.ID, gone, ok, b.Gone)
				}
			}
		}
	})
}

// TestJoiningCostsALinearNumberOfEntries guards against the overload of the control
// processes of hundreds of gateways: each subscription used to send the list of all
// gateways to all of them, so that N joins cost N*N lists.
func TestJoiningCostsALinearNumberOfEntries(t *testing.T) {
	const servers, joinTime = 140, 300 * time.Millisecond
	for _, gateways := range []int{30, 300, 1000} {
		f := New(0)
		for i := range servers {
			f.Announce(fleet.BackendServer{ID: fmt.Sprint("s", i), Address: fmt.Sprint(i), BornMs: 1, Sequence: 1})
		}
		views := make([]*view, 0, gateways)
		entries, encoded := 0, map[uint64]bool{}
		read := func(v *view, now time.Duration) {
			updates, last := f.After(v.position, now)
			for _, u := range updates {
				m := u.Envelope().GetFleetUpdate()
				v.merge(m)
				entries += len(m.GetGateways())
				if m.GetComplete() {
					encoded[m.GetPosition()] = true
				}
			}
			v.position = last
		}
		var now time.Duration
		for i := range gateways {
			now = time.Duration(i) * joinTime / time.Duration(gateways)
			f.Build(now)
			f.Subscribe(&wirepb.GatewayInfo{Id: fmt.Sprint("g", i), Incarnation: 1})
			views = append(views, &view{})
			read(views[i], now)
		}
		for range 3 {
			now += RegularInterval
			f.Build(now)
			for _, v := range views {
				read(v, now)
			}
		}
		for i, v := range views {
			if len(v.gateways) != gateways {
				t.Fatalf("gateway %d of %d knows %d", i, gateways, len(v.gateways))
			}
		}
		// Each gateway receives each other one about once, and once more if it was in
		// a shared complete update as well.
		if limit := 2 * gateways * gateways; entries > limit {
			t.Errorf("%d gateways: %d entries about gateways sent, at most %d", gateways, entries, limit)
		}
		if received := slices.MaxFunc(views, func(a, b *view) int { return a.received - b.received }).received; received > 8 {
			t.Errorf("%d gateways: one received %d updates", gateways, received)
		}
		if len(encoded) > 3 {
			t.Errorf("%d gateways: %d complete updates were encoded", gateways, len(encoded))
		}
	}
}
