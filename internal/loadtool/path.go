package loadtool

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

// PathSettings configures ModePath, which measures the latency that the entry
// processes add.
type PathSettings struct {
	// Direct are the addresses of stand-ins, which are called without an entry
	// process.
	Direct []string `json:"direct"`
	// OpenStreams are the numbers of open streams to measure with.
	OpenStreams []int `json:"open_streams,omitempty"`
	// Probes is the number of probes on each path, direct and through entry
	// processes, for each number of streams.
	Probes int `json:"probes,omitempty"`
	// WarmupRequests is the number of requests that are sent first, so that cold
	// start budgets have grown.
	WarmupRequests int `json:"warmup_requests,omitempty"`
	// StreamTokens is the maximum output length of each open stream, in tokens.
	StreamTokens int `json:"stream_tokens,omitempty"`
	// Metrics are the URLs of the metrics endpoints of the entry processes.
	Metrics []string `json:"metrics,omitempty"`
}

// DefaultPath returns the settings for which the latency targets are defined.
func DefaultPath() PathSettings {
	return PathSettings{OpenStreams: []int{1, 64, 1000}, Probes: 1000, WarmupRequests: 200, StreamTokens: 4000}
}

// PathPoint is the result for one number of open streams.
type PathPoint struct {
	OpenStreams int   `json:"open_streams"`
	Direct      Times `json:"direct_ttft"`
	Entry       Times `json:"entry_ttft"`
	// AddedP50 and AddedP99 are the percentiles through entry processes minus the
	// direct ones, in ms.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// FailedProbes is the number of probes without a correct response, and
	// BrokenStreams that of streams that ended before the last probe.
	FailedProbes    int     `json:"failed_probes"`
	BrokenStreams   int64   `json:"broken_streams"`
	TokensPerSecond float64 `json:"relayed_tokens_per_second"`
	// TokensPerCPUSecond and CPUSeconds are totals over all entry processes, or
	// zero without their metrics.
	TokensPerCPUSecond float64 `json:"tokens_per_cpu_second,omitempty"`
	CPUSeconds         float64 `json:"cpu_seconds,omitempty"`
	// HeapBytes is the memory that the heaps and the stacks of all entry processes
	// use after the probes, or zero without their metrics.
	HeapBytes float64 `json:"heap_bytes,omitempty"`
	// BytesPerStream is the growth of heap and stacks since the first point,
	// divided by the growth of the number of streams.
	BytesPerStream float64 `json:"bytes_per_stream,omitempty"`
}

// runPath measures the time to first token, alternately through the entry processes
// and directly at the stand-ins, while streams are open.
func (t *Tool) runPath(ctx context.Context) (*Report, error) {
	direct := NewClient(NewBalancer(t.settings.Path.Direct, t.settings.Seed))
	defer direct.Close()
	start := time.Now()
	t.warmUp(ctx)
	rep := Summarise(nil)
	for _, n := range t.settings.Path.OpenStreams {
		p, err := t.measurePoint(ctx, direct, n)
		if err != nil {
			return nil, errors.Annotatef(err, "with %d open streams", n)
		}
		if first := rep.Path; len(first) > 0 && p.HeapBytes > 0 {
			p.BytesPerStream = (p.HeapBytes - first[0].HeapBytes) / float64(n-first[0].OpenStreams)
		}
		rep.Path = append(rep.Path, p)
	}
	rep.Seconds = time.Since(start).Seconds()
	return rep, nil
}

// warmUp sends the warmup requests through the entry processes.
func (t *Tool) warmUp(ctx context.Context) {
	for i := range t.settings.Path.WarmupRequests {
		t.probe(ctx, t.client, uint64(i))
	}
}

// probeTokens is the prompt length of probes and streams, in tokens: the shortest of
// the workload.
const probeTokens = 1000

// newCall returns a streaming call with a unique prompt for each nonce and the given
// maximum number of output tokens.
func (t *Tool) newCall(nonce uint64, tokens int) *Call {
	r := workload.Request{PromptTokens: probeTokens, Nonce: nonce}
	c := &Call{Model: t.settings.Model, Prompt: r.Text(), MaxTokens: tokens, Stream: true, Chat: true}
	if len(t.settings.Keys) > 0 {
		c.Key = t.settings.Keys[nonce%uint64(len(t.settings.Keys))]
	}
	return c
}

// probe sends a call with one output token.
func (t *Tool) probe(ctx context.Context, c *Client, nonce uint64) *Result {
	return c.Do(ctx, t.newCall(nonce, 1))
}

// openStreams is a set of streams that goroutines receive in the background. It counts
// the tokens received and the streams that ended before close.
type openStreams struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	tokens atomic.Int64
	broken atomic.Int64
}

// close cancels the streams and waits for their goroutines.
func (s *openStreams) close() {
	s.cancel()
	s.wg.Wait()
}

// open opens n streams and waits for the first token of each. It returns an error if
// one of them ends earlier.
func (t *Tool) open(ctx context.Context, n int) (*openStreams, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	streams := &openStreams{cancel: cancel}
	// Each stream sends nil at its first token, and an error when it ends.
	first := make(chan error, 2*n)
	for i := range n {
		streams.wg.Go(func() {
			err := t.receive(streamCtx, t.newCall(uint64(i)<<32, t.settings.Path.StreamTokens), streams, first)
			if streamCtx.Err() == nil {
				streams.broken.Add(1)
			}
			first <- err
		})
	}
	for range n {
		select {
		case err := <-first:
			if err != nil {
				streams.close()
				return nil, errors.Trace(err)
			}
		case <-ctx.Done():
			streams.close()
			return nil, errors.Trace(ctx.Err())
		}
	}
	return streams, nil
}

// receive sends a call and counts the events of its stream until the stream ends. It
// doesn't parse the events, so that the load tool does not become the bottleneck.
// It sends nil to first at the first event.
func (t *Tool) receive(ctx context.Context, call *Call, streams *openStreams, first chan<- error) error {
	body, err := marshalCall(call)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := t.client.send(ctx, call, body, &Result{})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
		return errors.Errorf("stream refused: status %d: %s", resp.StatusCode, text)
	}
	buf := make([]byte, 8<<10)
	started := false
	for {
		n, err := resp.Body.Read(buf)
		if events := strings.Count(string(buf[:n]), "data: "); events > 0 {
			streams.tokens.Add(int64(events))
			if !started {
				started = true
				first <- nil
			}
		}
		if err != nil {
			return errors.Annotate(err, "read stream")
		}
	}
}

// measurePoint sends probes on both paths, in random order, while n streams are open.
func (t *Tool) measurePoint(ctx context.Context, direct *Client, n int) (*PathPoint, error) {
	streams, err := t.open(ctx, n)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer streams.close()
	before, tokens, start := t.scrape(ctx), streams.tokens.Load(), time.Now()
	p := &PathPoint{OpenStreams: n}
	clients := []*Client{direct, t.client}
	ttft := []*Recorder{NewRecorder(), NewRecorder()}
	rng := rand.New(rand.NewPCG(t.settings.Seed, uint64(n)))
	for i := range t.settings.Path.Probes {
		for _, target := range rng.Perm(2) {
			r := t.probe(ctx, clients[target], uint64(n)<<40|uint64(i)<<1|uint64(target))
			if r.Outcome != OK {
				p.FailedProbes++
				continue
			}
			ttft[target].Add(r.TTFT)
		}
	}
	seconds := time.Since(start).Seconds()
	after := t.scrape(ctx)
	relayed := float64(streams.tokens.Load() - tokens)
	p.Direct, p.Entry = ttft[0].Times(), ttft[1].Times()
	p.AddedP50, p.AddedP99 = p.Entry.P50-p.Direct.P50, p.Entry.P99-p.Direct.P99
	p.BrokenStreams, p.TokensPerSecond = streams.broken.Load(), relayed/seconds
	if p.CPUSeconds = after.cpuSeconds - before.cpuSeconds; p.CPUSeconds > 0 {
		p.TokensPerCPUSecond = relayed / p.CPUSeconds
	}
	p.HeapBytes = after.memoryBytes
	return p, nil
}

// processUsage is the resource usage of all entry processes together.
type processUsage struct{ cpuSeconds, memoryBytes float64 }

// scrape reads CPU time and memory from the metrics of the entry processes. Metrics
// that cannot be read count as zero.
func (t *Tool) scrape(ctx context.Context) processUsage {
	var u processUsage
	for _, url := range t.settings.Path.Metrics {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			continue
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				continue
			}
			switch name {
			case "process_cpu_seconds_total":
				u.cpuSeconds += v
			case "go_memstats_heap_inuse_bytes", "go_memstats_stack_inuse_bytes":
				u.memoryBytes += v
			}
		}
	}
	return u
}

// writePath prints the points to w as a table.
func writePath(w io.Writer, points []*PathPoint) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "open streams\tdirect p50 ms\tp99\tentry p50\tp99\tadded p50\tadded p99\ttokens/s\ttokens/CPU s\tKB/stream\tfailed\tbroken\t")
	for _, p := range points {
		fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%d\t%d\t\n", p.OpenStreams,
			p.Direct.P50, p.Direct.P99, p.Entry.P50, p.Entry.P99, p.AddedP50, p.AddedP99,
			p.TokensPerSecond, p.TokensPerCPUSecond, p.BytesPerStream/1024, p.FailedProbes, p.BrokenStreams)
	}
	_ = t.Flush()
}
