package loadtool

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

// runOnce sends Requests calls, Concurrency at a time.
func (t *Tool) runOnce(ctx context.Context) (*Report, error) {
	s := t.settings
	prompt := workload.Request{PromptTokens: s.PromptTokens}
	work := make(chan int)
	results := make([]*Result, s.Requests)
	var all sync.WaitGroup
	start := time.Now()
	for range s.Concurrency {
		all.Go(func() {
			for i := range work {
				r := prompt
				r.Nonce, r.Account, r.Number = s.Seed+uint64(i), i%max(1, len(s.Keys)), i
				r.MaxTokens, r.Urgency, r.Deadline = s.MaxTokens, s.Urgency, time.Duration(s.DeadlineMS)*time.Millisecond
				results[i] = t.send(ctx, &r, start)
			}
		})
	}
	for i := range s.Requests {
		work <- i
	}
	close(work)
	all.Wait()
	rep := Summarise(results)
	rep.Results = results
	rep.Seconds = time.Since(start).Seconds()
	return rep, nil
}

// send sends one request of a workload.
func (t *Tool) send(ctx context.Context, r *workload.Request, start time.Time) *Result {
	call := &Call{
		Model: t.settings.Model, Prompt: r.Text(), Tokens: r.MaxTokens, Urgency: r.Urgency,
		Deadline: r.Deadline, Stream: !t.settings.NoStream, Chat: !t.settings.TextCompletions,
	}
	if n := len(t.settings.Keys); n > 0 {
		call.Key = t.settings.Keys[r.Account%n]
	}
	began := time.Since(start)
	res := t.client.Do(ctx, call)
	res.Number, res.Account, res.Class, res.Prompt = r.Number, r.Account, r.Class(), r.PromptTokens
	res.Urgency, res.Burst, res.Start = r.Urgency, r.Burst, began
	return res
}

// runWorkload sends the requests of the workload at their times, whether or not
// earlier ones were answered.
func (t *Tool) runWorkload(ctx context.Context) (*Report, error) {
	s := t.settings
	requests, err := workload.Generate(*s.Workload)
	if err != nil {
		return nil, errors.Trace(err)
	}
	results := make([]*Result, len(requests))
	var all sync.WaitGroup
	start := time.Now()
	late := NewRecorder()
	events := t.startEvents(ctx, start)
	for i := range requests {
		r := requests[i]
		at := time.Duration(float64(r.At) * s.TimeScale)
		r.Deadline = time.Duration(float64(r.Deadline) * s.TimeScale)
		if err := sleepUntil(ctx, start.Add(at)); err != nil {
			break
		}
		late.Add(time.Since(start) - at)
		all.Go(func() { results[i] = t.send(ctx, &r, start) })
	}
	all.Wait()
	done := results[:0]
	for _, r := range results {
		if r != nil {
			done = append(done, r)
		}
	}
	rep := Summarise(done)
	rep.Results = done
	rep.Seconds = time.Since(start).Seconds()
	rep.Events = events()
	// A tool that sends late measures less load than it states.
	if l := late.Times(); l.P99 > maxSendDelayMS {
		return rep, errors.Annotatef(ErrSentLate, "%.1f ms at the 99th percentile", l.P99)
	}
	return rep, nil
}

// ErrSentLate means that the machine of the load tool was too busy to send
// requests at their times, so the measured load is not the stated one.
var ErrSentLate = errors.New("the load tool sent requests late; its machine is overloaded")

// maxSendDelayMS is the delay of sending from which a run is not valid: a
// tenth of the shortest first-token times.
const maxSendDelayMS = 50

func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-timer.C:
		return nil
	}
}

// startEvents runs the actions of the settings at their times, and returns a
// function that waits for them and returns what they did.
func (t *Tool) startEvents(ctx context.Context, start time.Time) func() []string {
	var mu sync.Mutex
	var done []string
	var all sync.WaitGroup
	for _, e := range t.settings.Actions {
		all.Go(func() {
			at := time.Duration(e.AtSeconds * t.settings.TimeScale * float64(time.Second))
			if sleepUntil(ctx, start.Add(at)) != nil {
				return
			}
			err := e.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			line := fmt.Sprintf("%.2f s: %s", time.Since(start).Seconds(), e.Name)
			if err != nil {
				line += ": " + err.Error()
			}
			done = append(done, line)
		})
	}
	return func() []string {
		all.Wait()
		return done
	}
}
