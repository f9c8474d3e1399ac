package observe

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueLines bounds the lines that wait to be written: some seconds of a busy
	// process.
	queueLines = 8192
	// syncTimeout bounds the wait for the writer at the end of the process.
	syncTimeout = 500 * time.Millisecond
	// maxWriteBytes bounds the lines that are joined into one write.
	maxWriteBytes = 32 << 10
	// writePause collects lines, since each write costs a system call.
	writePause = 50 * time.Millisecond
)

var linesDropped = metrics.GetOrCreateCounter(`bilberry_log_lines_dropped_total`)

// queue is a zapcore.WriteSyncer that never blocks: lines beyond its bound are
// dropped and counted, because a slow reader of the log must not slow requests.
type queue struct {
	lines chan []byte
	syncs chan chan struct{}
	out   io.Writer
}

func newQueue(out io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueLines), syncs: make(chan chan struct{}), out: out}
	go q.run()
	return q
}

// Write implements io.Writer. The encoder reuses its buffer, so the line is
// copied.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Sync waits until the lines so far are written, for a bounded time.
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

func (q *queue) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
			time.Sleep(writePause)
		case done := <-q.syncs:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			close(done)
		}
	}
}

// write writes a line with those that follow it. There is nowhere to report an
// error to, so that it counts as dropped lines.
func (q *queue) write(first []byte) {
	buf := first
	for len(buf) < maxWriteBytes && len(q.lines) > 0 {
		buf = append(buf, <-q.lines...)
	}
	if _, err := q.out.Write(buf); err != nil {
		linesDropped.Inc()
	}
}
