package loadtool

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

// runOnce sends Requests calls from Concurrency workers, each of which waits for the
// response before it sends the next call.
func (t *Tool) runOnce(ctx context.Context) (*Report, error) {
	s := t.settings
	prompt := workload.Request{PromptTokens: s.PromptTokens}
	work := make(chan int)
	results := make([]*Result, s.Requests)
	var wg sync.WaitGroup
	start := time.Now()
	for range s.Concurrency {
		wg.Go(func() {
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
	wg.Wait()
	rep := Summarise(results)
	rep.Results = results
	rep.Seconds = time.Since(start).Seconds()
	return rep, nil
}

// send sends one request and returns its result. The start of the result counts from
// the given start of the run.
func (t *Tool) send(ctx context.Context, r *workload.Request, start time.Time) *Result {
	call := &Call{
		Model: t.settings.Model, Prompt: r.Text(), MaxTokens: r.MaxTokens, Urgency: r.Urgency,
		Deadline: r.Deadline, Stream: !t.settings.NoStream, Chat: !t.settings.TextCompletions,
	}
	if n := len(t.settings.Keys); n > 0 {
		call.Key = t.settings.Keys[r.Account%n]
	}
	sentAt := time.Since(start)
	result := t.client.Do(ctx, call)
	result.Number, result.Account, result.Class, result.Prompt = r.Number, r.Account, r.Class(), r.PromptTokens
	result.Urgency, result.Burst, result.Start = r.Urgency, r.Burst, sentAt
	return result
}

// runWorkload sends the requests of the workload at their arrival times, whether or
// not earlier ones have got a response. It returns the report together with
// ErrSentLate if requests were sent too late.
func (t *Tool) runWorkload(ctx context.Context) (*Report, error) {
	s := t.settings
	requests, err := workload.Generate(*s.Workload)
	if err != nil {
		return nil, errors.Trace(err)
	}
	results := make([]*Result, len(requests))
	var wg sync.WaitGroup
	start := time.Now()
	delays := NewRecorder()
	waitActions := t.startActions(ctx, start)
	for i := range requests {
		r := requests[i]
		at := time.Duration(float64(r.At) * s.TimeScale)
		r.Deadline = time.Duration(float64(r.Deadline) * s.TimeScale)
		if err := sleepUntil(ctx, start.Add(at)); err != nil {
			break
		}
		delays.Add(time.Since(start) - at)
		wg.Go(func() { results[i] = t.send(ctx, &r, start) })
	}
	wg.Wait()
	sent := results[:0]
	for _, r := range results {
		if r != nil {
			sent = append(sent, r)
		}
	}
	rep := Summarise(sent)
	rep.Results = sent
	rep.Seconds = time.Since(start).Seconds()
	rep.Events = waitActions()
	// If requests are sent late, the actual load is lower than the configured one.
	if summary := delays.Times(); summary.P99 > maxSendDelayMS {
		return rep, errors.Annotatef(ErrSentLate, "%.1f ms at the 99th percentile", summary.P99)
	}
	return rep, nil
}

// ErrSentLate means that the machine of the load tool was too busy to send
// requests at their arrival times, so the actual load is not the configured one.
var ErrSentLate = errors.New("the load tool sent requests late; its machine is overloaded")

// maxSendDelayMS is the 99th percentile of the send delay, in ms, above which a run
// is not valid. It is a tenth of the shortest first-token times.
const maxSendDelayMS = 50

// sleepUntil sleeps until the given time. It returns an error if ctx ends first.
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

// startActions runs the actions of the settings in the background at their times. It
// returns a function that waits for them and returns a line for each, with its time,
// name and error.
func (t *Tool) startActions(ctx context.Context, start time.Time) func() []string {
	var mu sync.Mutex
	var lines []string
	var wg sync.WaitGroup
	for _, action := range t.settings.Actions {
		wg.Go(func() {
			at := time.Duration(action.AtSeconds * t.settings.TimeScale * float64(time.Second))
			if sleepUntil(ctx, start.Add(at)) != nil {
				return
			}
			err := action.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			line := fmt.Sprintf("%.2f s: %s", time.Since(start).Seconds(), action.Name)
			if err != nil {
				line += ": " + err.Error()
			}
			lines = append(lines, line)
		})
	}
	return func() []string {
		wg.Wait()
		return lines
	}
}
