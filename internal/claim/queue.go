package claim

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/wirepb"
)

const (
	// maxQueued bounds the commands in the background. At 100 claims/s it
	// lasts 100 s without a quorum; then claims are refused before they are
	// sent.
	maxQueued = 10_000
	// maxQueuedBodyBytes bounds the outcome bodies in the background. Beyond it
	// outcomes are kept without their body.
	maxQueuedBodyBytes = 16 << 20
	// workers is the number of commands proposed at a time.
	workers = 4
	// workTimeout bounds one round of attempts.
	workTimeout = 5 * time.Second
	// firstBackoff to maxBackoff is the pause after a failed round.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// closeTimeout is how long close waits for the rest.
	closeTimeout = time.Second
)

var (
	abandonedTotal = metrics.NewCounter(`bilberry_claims_abandoned_total`)
	lostTotal      = metrics.NewCounter(`bilberry_claim_outcomes_lost_total`)
)

// item is one outcome on its way to the log.
type item struct {
	cmd   *wirepb.Command
	since time.Time
}

// queue proposes outcomes until the log has answered each of them.
type queue struct {
	propose func(context.Context, *wirepb.Command) (*wirepb.Result, error)
	log     *zap.Logger
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// wake has room for one token per worker.
	wake chan struct{}

	mu    sync.Mutex
	items []item
	// held counts the room in use: queued, in work and reserved.
	held      int
	bodyBytes int
	closed    bool
}

func newQueue(propose func(context.Context, *wirepb.Command) (*wirepb.Result, error), log *zap.Logger) *queue {
	ctx, cancel := context.WithCancel(context.Background())
	q := &queue{propose: propose, log: log, cancel: cancel, wake: make(chan struct{}, workers)}
	for range workers {
		q.wg.Go(func() { q.work(ctx) })
	}
	return q
}

// reserve takes room for one item.
func (q *queue) reserve() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held >= maxQueued || q.closed {
		return false
	}
	q.held++
	return true
}

func (q *queue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held--
}

// add queues an outcome. It returns false when there is no room.
func (q *queue) add(cmd *wirepb.Command) bool {
	if !q.reserve() {
		lostTotal.Inc()
		return false
	}
	q.addReserved(cmd)
	return true
}

// addReserved queues an outcome for which room was reserved.
func (q *queue) addReserved(cmd *wirepb.Command) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, item{q.bounded(cmd), time.Now()})
	q.wakeOne()
}

// bounded returns cmd, without the body when there is no room for it.
func (q *queue) bounded(cmd *wirepb.Command) *wirepb.Command {
	size := len(cmd.GetOutcome().GetBody())
	if q.bodyBytes+size <= maxQueuedBodyBytes {
		q.bodyBytes += size
		return cmd
	}
	short := proto.CloneOf(cmd)
	o := short.GetOutcome()
	o.Body, o.BodyDropped = nil, true
	return short
}

func (q *queue) wakeOne() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) take() (item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return item{}, false
	}
	it := q.items[0]
	q.items = q.items[1:]
	if len(q.items) > 0 {
		q.wakeOne()
	}
	return it, true
}

func (q *queue) putBack(it item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, it)
}

func (q *queue) done(it item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held--
	q.bodyBytes -= len(it.cmd.GetOutcome().GetBody())
}

func (q *queue) work(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		it, ok := q.take()
		if !ok {
			select {
			case <-ctx.Done():
			case <-q.wake:
			}
			continue
		}
		if q.settle(ctx, it) {
			backoff = firstBackoff
			continue
		}
		q.putBack(it)
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// settle proposes one outcome and reports whether the log has answered.
func (q *queue) settle(ctx context.Context, it item) bool {
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	result, err := q.propose(ctx, it.cmd)
	if err != nil {
		return false
	}
	q.done(it)
	o := it.cmd.GetOutcome()
	if o.GetKind() == wirepb.ClaimOutcome_KIND_NOT_RUN {
		abandonedTotal.Inc()
	}
	if err := recordError(result); err != nil {
		q.log.Warn("outcome refused", zap.String("claim_id", o.GetClaimId()), zap.Error(err))
	}
	return true
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	for end := time.Now().Add(closeTimeout); q.len() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	q.cancel()
	q.wg.Wait()
	if n := q.len(); n > 0 {
		lostTotal.Add(n)
		q.log.Warn("outcomes not recorded at the end of the process; their keys stay in progress", zap.Int("count", n))
	}
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held
}

// Status is the part of the state dump about claims.
type Status struct {
	// Pending counts claims and outcomes without an answer from the log.
	Pending int `json:"pending"`
	// OldestMs is how long the first of the queued outcomes has waited.
	OldestMs  int64 `json:"oldest_ms"`
	BodyBytes int   `json:"body_bytes"`
}

// Status returns the state for the state dump.
func (c *Client) Status() Status {
	q := c.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Status{Pending: q.held, BodyBytes: q.bodyBytes}
	for _, it := range q.items {
		s.OldestMs = max(s.OldestMs, time.Since(it.since).Milliseconds())
	}
	return s
}
