package claim

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/wire"
	"bilberryhub/internal/wirepb"
)

const (
	// maxQueued is the number of slots for commands in the background. At 100
	// claims/s they last for 100 s without a quorum; after that, claims are
	// refused before they are sent.
	maxQueued = 10_000
	// maxQueuedBodyBytes bounds the total size of the outcome bodies in the queue.
	// Outcomes beyond it are queued without their body.
	maxQueuedBodyBytes = 16 << 20
	// workerCount is the number of commands proposed concurrently.
	workerCount = 4
	// roundTimeout bounds one round of attempts for one command.
	roundTimeout = 5 * time.Second
	// A worker pauses after a failed round, at first for initialBackoff, then for
	// twice the time after each further failure up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// closeTimeout is how long close waits for the queue to drain.
	closeTimeout = time.Second
)

var (
	abandonedTotal = metrics.NewCounter(`bilberry_claims_abandoned_total`)
	lostTotal      = metrics.NewCounter(`bilberry_claim_outcomes_lost_total`)
)

// item is one outcome command that the log has not answered yet.
type item struct {
	cmd      *wirepb.Command
	queuedAt time.Time
}

// queue proposes outcome commands in the background, each until the log has
// answered it. A fixed number of slots bounds it.
type queue struct {
	propose func(context.Context, *wirepb.Command) (*wirepb.Result, error)
	log     *zap.Logger
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// wake signals idle workers. Its capacity is one token per worker.
	wake chan struct{}

	mu    sync.Mutex
	items []item
	// usedSlots counts the queued items, the items at workers, and the reservations.
	usedSlots int
	// bodyBytes is the total size of the outcome bodies in items and at workers.
	bodyBytes int
	closed    bool
}

// newQueue returns a queue and starts its workers, which run until close.
func newQueue(propose func(context.Context, *wirepb.Command) (*wirepb.Result, error), log *zap.Logger) *queue {
	ctx, cancel := context.WithCancel(context.Background())
	q := &queue{propose: propose, log: log, cancel: cancel, wake: make(chan struct{}, workerCount)}
	for range workerCount {
		q.wg.Go(func() { q.work(ctx) })
	}
	return q
}

// reserve takes a slot for one item. It reports false when all slots are in use
// or the queue is closed.
func (q *queue) reserve() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.usedSlots >= maxQueued || q.closed {
		return false
	}
	q.usedSlots++
	return true
}

// release returns a reserved slot that is not needed.
func (q *queue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.usedSlots--
}

// add queues an outcome command. It reports false when no slot is free; the
// outcome then counts as lost.
func (q *queue) add(cmd *wirepb.Command) bool {
	if !q.reserve() {
		lostTotal.Inc()
		return false
	}
	q.addReserved(cmd)
	return true
}

// addReserved queues an outcome command whose slot was reserved before.
func (q *queue) addReserved(cmd *wirepb.Command) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, item{q.limitBody(cmd), time.Now()})
	q.wakeOne()
}

// limitBody returns cmd, or a copy without the outcome body when the queued
// bodies would exceed maxQueuedBodyBytes. It requires mu.
func (q *queue) limitBody(cmd *wirepb.Command) *wirepb.Command {
	size := len(cmd.GetOutcome().GetBody())
	if q.bodyBytes+size <= maxQueuedBodyBytes {
		q.bodyBytes += size
		return cmd
	}
	stripped := proto.CloneOf(cmd)
	o := stripped.GetOutcome()
	o.Body, o.BodyDropped = nil, true
	return stripped
}

// wakeOne wakes one idle worker, if there is any.
func (q *queue) wakeOne() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop removes the first item. It reports false when the queue is empty, and wakes
// another worker when items are left.
func (q *queue) pop() (item, bool) {
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

// requeue appends an item whose round of attempts failed.
func (q *queue) requeue(it item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, it)
}

// finish frees the slot and the body bytes of an answered item.
func (q *queue) finish(it item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.usedSlots--
	q.bodyBytes -= len(it.cmd.GetOutcome().GetBody())
}

// work proposes items until ctx ends, with an exponential backoff while rounds
// fail.
func (q *queue) work(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		it, ok := q.pop()
		if !ok {
			select {
			case <-ctx.Done():
			case <-q.wake:
			}
			continue
		}
		if q.proposeItem(ctx, it) {
			backoff = initialBackoff
			continue
		}
		q.requeue(it)
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// proposeItem proposes one outcome command and reports whether the log has
// answered, be it with a rejection. A command that can't be sent counts as answered: it
// would keep its slot for ever.
func (q *queue) proposeItem(ctx context.Context, it item) bool {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	result, err := q.propose(ctx, it.cmd)
	if wire.IsEncodeError(err) {
		q.finish(it)
		lostTotal.Inc()
		q.log.Error("claim outcome can't be sent", zap.String("claim_id", it.cmd.GetOutcome().GetClaimId()), observe.Error(err))
		return true
	}
	if err != nil {
		return false
	}
	q.finish(it)
	o := it.cmd.GetOutcome()
	if o.GetKind() == wirepb.ClaimOutcome_KIND_NOT_RUN {
		abandonedTotal.Inc()
	}
	if err := recordError(result); err != nil {
		q.log.Warn("claim outcome rejected by the state machine", zap.String("claim_id", o.GetClaimId()), zap.Error(err))
	}
	return true
}

// close refuses new items, waits up to closeTimeout for the queue to drain, and
// stops the workers. Outcomes that are left count as lost.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	for deadline := time.Now().Add(closeTimeout); q.len() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	q.cancel()
	q.wg.Wait()
	if n := q.len(); n > 0 {
		lostTotal.Add(n)
		q.log.Warn("claim outcomes not recorded at shutdown; their keys stay in progress", zap.Int("count", n))
	}
}

// len returns the number of slots in use.
func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.usedSlots
}

// Status is the claim section of the state dump.
type Status struct {
	// Pending counts the claims and outcomes that the log has not answered.
	Pending int `json:"pending"`
	// OldestMs is how long the oldest queued outcome has waited, in milliseconds.
	OldestMs int64 `json:"oldest_ms"`
	// BodyBytes is the total size of the outcome bodies kept in memory.
	BodyBytes int `json:"body_bytes"`
}

// Status returns the claim section of the state dump.
func (c *Client) Status() Status {
	q := c.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Status{Pending: q.usedSlots, BodyBytes: q.bodyBytes}
	for _, it := range q.items {
		s.OldestMs = max(s.OldestMs, time.Since(it.queuedAt).Milliseconds())
	}
	return s
}
