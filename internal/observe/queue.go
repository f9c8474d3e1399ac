package observe

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueLines is the maximum number of lines waiting to be written: a few seconds
	// of output of a busy process.
	queueLines = 8192
	// syncTimeout limits how long Sync waits for the writer at the end of the process.
	syncTimeout = 500 * time.Millisecond
	// maxWriteBytes is the size from which on no further line is added to a write.
	maxWriteBytes = 32 << 10
	// batchInterval is the pause after each write, in which lines are collected for the
	// next one, because each write costs a system call.
	batchInterval = 50 * time.Millisecond
)

var linesDropped = metrics.GetOrCreateCounter(`bilberry_log_lines_dropped_total`)

// queue is a zapcore.WriteSyncer whose Write never blocks. If the queue is full, lines
// are dropped and counted, because a slow consumer of the log must not delay requests.
type queue struct {
	lines chan []byte
	// syncs passes the channels that run closes when the queue has been written.
	syncs chan chan struct{}
	out   io.Writer
}

// newQueue returns a queue that writes to out. Its goroutine runs until the end of the
// process.
func newQueue(out io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueLines), syncs: make(chan chan struct{}), out: out}
	go q.run()
	return q
}

// Write implements io.Writer. It copies the line, because the encoder reuses its buffer.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Sync waits until all queued lines have been written, for at most syncTimeout. It
// always returns nil.
func (q *queue) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case q.syncs <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

// run writes queued lines and serves Sync.
func (q *queue) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
			time.Sleep(batchInterval)
		case done := <-q.syncs:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			close(done)
		}
	}
}

// write writes a line together with the lines that are queued behind it. There is no way
// to report an error, so a failed write is counted as one dropped line.
func (q *queue) write(first []byte) {
	buf := first
	for len(buf) < maxWriteBytes && len(q.lines) > 0 {
		buf = append(buf, <-q.lines...)
	}
	if _, err := q.out.Write(buf); err != nil {
		linesDropped.Inc()
	}
}
