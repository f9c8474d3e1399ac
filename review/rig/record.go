package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
