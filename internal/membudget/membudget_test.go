package membudget

import (
	"fmt"
	"sync"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// TestCapacity guards against a budget that a single body of the largest legal size
// never fits, whatever the settings are.
func TestCapacity(t *testing.T) {
	for _, c := range []struct{ heldMB, memoryMB, largest, want int64 }{
		{0, 0, mib, 128 * mib},
		{0, 64, mib, 16 * mib},
		{8, 64, mib, 8 * mib},
		{8, 0, 6 * mib, 8 * mib},
		{8, 0, 9 * mib, 12 * mib},
		{0, 4, 8 * mib, 4 * ((8*mib + 2) / 3)},
	} {
		got := Capacity(c.heldMB, c.memoryMB, c.largest)
		if got != c.want {
			t.Errorf("capacity for held_mb %d, memory_mb %d, largest body %d is %d, want %d", c.heldMB, c.memoryMB, c.largest, got, c.want)
		}
		r, err := New(got).Reserve("a", c.largest)
		if err != nil {
			t.Errorf("largest body does not fit: %v", err)
			continue
		}
		r.Release()
	}
}

// TestAdmission guards the rules by which a reservation is admitted. Each case makes
// reservations in order, of which the last one is checked.
func TestAdmission(t *testing.T) {
	const capacity = 16 * mib
	type step struct {
		holder string
		count  int
		n      int64
	}
	for _, c := range []struct {
		name  string
		steps []step
		fits  bool
	}{
		{"a holder that holds nothing gets the large part", []step{{"a", 1, 12 * mib}}, true},
		{"but not the part for small ones", []step{{"a", 1, 12*mib + 1}}, false},
		{"a single holder gets half", []step{{"a", 8, mib}}, true},
		{"and no more", []step{{"a", 8, mib}, {"a", 1, mib}}, false},
		{"a second holder gets what is left", []step{{"a", 8, mib}, {"b", 1, 4 * mib}}, true},
		{"two holders get a third each", []step{{"a", 5, mib}, {"b", 5, mib}}, true},
		{"and no more", []step{{"a", 5, mib}, {"b", 5, mib}, {"b", 1, mib}}, false},
		{"a single body beside small ones counts them", []step{{"a", 128, 64 * kib}, {"a", 1, 65 * kib}}, false},
		{"a small one fits beside the holder's large ones", []step{{"a", 8, mib}, {"a", 1, 64 * kib}}, true},
		{"small ones of a holder leave as much as they take", []step{{"a", 8, mib}, {"a", 64, 64 * kib}}, true},
		{"and no less", []step{{"a", 8, mib}, {"a", 64, 64 * kib}, {"a", 1, 64 * kib}}, false},
		{"which another holder gets", []step{{"a", 8, mib}, {"a", 64, 64 * kib}, {"b", 1, 4 * mib}}, true},
		{"small ones fit beside a full large part", []step{{"a", 1, 12 * mib}, {"b", 1, 64 * kib}}, true},
		{"large ones do not", []step{{"a", 1, 12 * mib}, {"b", 1, 64*kib + 1}}, false},
		{"except 0 bytes", []step{{"a", 8, mib}, {"a", 64, 64 * kib}, {"a", 1, 0}}, true},
		{"nothing fits a full budget", []step{
			{"a", 1, 12 * mib},
			{"b", 32, 64 * kib},
			{"c", 16, 64 * kib},
			{"d", 8, 64 * kib},
			{"e", 4, 64 * kib},
			{"f", 2, 64 * kib},
			{"g", 1, 64 * kib},
			{"h", 1, 64 * kib},
			{"i", 1, 1},
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(capacity)
			var last error
			for i, s := range c.steps {
				for range s.count {
					_, last = b.Reserve(s.holder, s.n)
					if last != nil && i < len(c.steps)-1 {
						t.Fatalf("step %d: %v", i, last)
					}
				}
			}
			if fits := last == nil; fits != c.fits {
				t.Errorf("last reservation fits: %v, want %v (%v)", fits, c.fits, last)
			}
		})
	}
}

// TestFullError guards against a refusal that does not explain itself.
func TestFullError(t *testing.T) {
	b := New(4 * mib)
	for _, holder := range []string{"a", "a", "b"} {
		if _, err := b.Reserve(holder, mib); err != nil {
			t.Fatal(err)
		}
	}
	_, err := b.Reserve("a", mib)
	var full *FullError
	if !errors.As(err, &full) {
		t.Fatalf("error %v, want a *FullError", err)
	}
	if want := (FullError{Holder: "a", Requested: mib, HeldByHolder: 2 * mib, Held: 3 * mib, Capacity: 4 * mib}); *full != want {
		t.Errorf("error %+v, want %+v", *full, want)
	}
}

// TestGrow guards against bytes that a growing, refused or released reservation loses
// or keeps.
func TestGrow(t *testing.T) {
	b := New(4 * mib)
	r, err := b.Reserve("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int64{64 * kib, 1, 2*mib - 64*kib - 1, mib, -1} {
		if err := r.Grow(n); err != nil {
			t.Fatalf("grow by %d: %v", n, err)
		}
	}
	if err := r.Grow(1); err == nil {
		t.Error("a large reservation grew into the part for small ones")
	}
	if got := b.Held(); got != 3*mib {
		t.Errorf("%d bytes held after a refused growth, want %d", got, 3*mib)
	}
	r.ShrinkTo(4 * mib)
	r.ShrinkTo(32 * kib)
	if got, held := r.Size(), b.held; got != 32*kib || held != (sizes{small: 32 * kib}) {
		t.Errorf("size %d, held %+v after the reservation has shrunk to 32 KiB", got, held)
	}
	r.Release()
	r.Release()
	if got := b.Held(); got != 0 {
		t.Errorf("%d bytes held after the release", got)
	}
	if err := r.Grow(1); !errors.Is(err, ErrReleased) {
		t.Errorf("growth of a released reservation: %v", err)
	}
}

// TestConcurrent guards against data races, with the race detector.
func TestConcurrent(t *testing.T) {
	b := New(4 * mib)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for range 200 {
				r, err := b.Reserve(fmt.Sprint(i%4), 50*kib)
				if err != nil {
					continue
				}
				_ = r.Grow(300 * kib)
				if held := b.Held(); held > 4*mib {
					t.Errorf("%d bytes held", held)
				}
				r.Release()
			}
		})
	}
	wg.Wait()
	if got := b.Held(); got != 0 {
		t.Errorf("%d bytes held at the end", got)
	}
}

// TestRandom guards against a budget that holds more than its capacity, keeps bytes
// that were released, or lets one holder shut out the others.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(mib, 64*mib).Draw(t, "capacity")
		holders := rapid.IntRange(1, 4).Draw(t, "holders")
		b := New(capacity)
		sizes := rapid.OneOf(rapid.Int64Range(0, SmallBytes), rapid.Int64Range(0, capacity))
		var open []*Reservation
		var sum int64
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				holder := fmt.Sprint(rapid.IntRange(1, holders).Draw(t, "holder"))
				n := sizes.Draw(t, "n")
				if r, err := b.Reserve(holder, n); err == nil {
					open, sum = append(open, r), sum+n
				}
			},
			"grow": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				n := sizes.Draw(t, "n")
				if open[rapid.IntRange(0, len(open)-1).Draw(t, "i")].Grow(n) == nil {
					sum += n
				}
			},
			"release": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				sum -= open[i].n
				open[i].Release()
				open = append(open[:i], open[i+1:]...)
			},
			"": func(t *rapid.T) {
				if got := b.Held(); got != sum || got > capacity {
					t.Fatalf("%d bytes held of %d, want %d", got, capacity, sum)
				}
			},
		})
		for _, r := range open {
			r.Release()
		}
		if len(b.holders) != 0 || b.held != (struct{ small, large int64 }{}) {
			t.Fatalf("after the release of all: %+v held, %d holders", b.held, len(b.holders))
		}
	})
}

// TestSecondHolder guards against a holder that takes so much that another one gets
// nothing, in whatever sizes it takes it.
func TestSecondHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(mib, 64*mib).Draw(t, "capacity")
		b := New(capacity)
		first := rapid.SliceOfN(rapid.Int64Range(10*kib, capacity), 1, 8).Draw(t, "first")
		for _, n := range append(first, SmallBytes/2, 10*kib) {
			for range capacity / n {
				if _, err := b.Reserve("first", n); err != nil {
					break
				}
			}
		}
		if _, err := b.Reserve("second", SmallBytes); err != nil {
			t.Fatalf("second holder gets nothing: %v", err)
		}
	})
}

// Guards against a body of a legal size that is refused in calm conditions because the
// configuration has raised the limit of a body since the start.
func TestSetCapacity(t *testing.T) {
	b := New(Capacity(1, 0, 0))
	if _, err := b.Reserve("a", 3<<20); err == nil {
		t.Fatal("3 MiB fit a budget of 1 MiB")
	}
	b.SetCapacity(Capacity(1, 0, 3<<20))
	r, err := b.Reserve("a", 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	b.SetCapacity(Capacity(1, 0, 0))
	if _, err := b.Reserve("b", 1); err == nil {
		t.Error("a byte fits although more than the capacity is held")
	}
	r.Release()
	if _, err := b.Reserve("b", 1); err != nil {
		t.Error(err)
	}
}
