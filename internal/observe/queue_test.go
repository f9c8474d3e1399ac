package observe

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blockedWriter stands for a log whose consumer never reads.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against requests that block because the log is not consumed.
func TestLogNeverBlocks(t *testing.T) {
	q := newQueue(blockedWriter{})
	before := linesDropped.Get()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queueLines {
			_, _ = q.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write to the log blocks")
	}
	if linesDropped.Get() == before {
		t.Fatal("dropped lines are not counted")
	}
}

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *buffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// Guards against lines that are lost at the end of the process.
func TestSyncFlushesQueue(t *testing.T) {
	out := &buffer{}
	q := newQueue(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = q.Write([]byte(line))
	}
	if err := q.Sync(); err != nil || out.text() != "a\nb\nc\n" {
		t.Fatalf("written %q, error %v", out.text(), err)
	}
}
