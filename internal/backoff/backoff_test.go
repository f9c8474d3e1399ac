package backoff

import (
	"testing"
	"time"
)

func TestBackoff(t *testing.T) {
	random := 0.0
	b := Backoff{Base: 200 * time.Millisecond, Max: 3 * time.Second, Random: func() float64 { return random }}
	for range 100 {
		random = 0.999
		if d := b.Next(); d <= 0 || d > b.Max {
			t.Fatalf("pause %s", d)
		}
		random = 0
		if d := b.Next(); d < b.Base/100 || d > b.Max/10 {
			t.Fatalf("shortest pause %s", d)
		}
	}
	random = 0.999
	if d := b.Next(); d < b.Max*9/10 {
		t.Errorf("pause %s after many failures", d)
	}
	b.Reset()
	if d := b.Next(); d > b.Base {
		t.Errorf("pause %s after a success", d)
	}
}
