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

// PathSettings configure the measurement of what the path adds.
type PathSettings struct {
	// Direct are the addresses of stand-ins, called without an entry process.
	Direct      []string `json:"direct"`
	OpenStreams []int    `json:"open_streams,omitempty"`
	// Probes is the number of calls by each way for each number of streams.
	Probes int `json:"probes,omitempty"`
	// WarmupRequests are sent first, so that cold start budgets have grown.
	WarmupRequests int `json:"warmup_requests,omitempty"`
	// StreamTokens is the length of the open streams.
	StreamTokens int `json:"stream_tokens,omitempty"`
	// Metrics are the URLs of the metrics of the entry processes.
	Metrics []string `json:"metrics,omitempty"`
}

// DefaultPath returns the measurement that the targets are stated for.
func DefaultPath() PathSettings {
	return PathSettings{OpenStreams: []int{1, 64, 1000}, Probes: 1000, WarmupRequests: 200, StreamTokens: 4000}
}

// PathPoint is the result for one number of open streams.
type PathPoint struct {
	OpenStreams int   `json:"open_streams"`
	Direct      Times `json:"direct_ttft"`
	Entry       Times `json:"entry_ttft"`
	// AddedP50 and AddedP99 are the differences of the percentiles, in ms.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// FailedProbes got no answer, and BrokenStreams ended before the probes.
	FailedProbes    int     `json:"failed_probes"`
	BrokenStreams   int64   `json:"broken_streams"`
	TokensPerSecond float64 `json:"relayed_tokens_per_second"`
	// TokensPerCPUSecond and CPUSeconds are of all entry processes, zero
	// without their metrics.
	TokensPerCPUSecond float64 `json:"tokens_per_cpu_second,omitempty"`
	CPUSeconds         float64 `json:"cpu_seconds,omitempty"`
	HeapBytes          float64 `json:"heap_bytes,omitempty"`
	// BytesPerStream is the growth of heap and stacks since the first point.
	BytesPerStream float64 `json:"bytes_per_stream,omitempty"`
}

// runPath measures the time to first token by way of the entry processes and
// directly, alternating, while streams are open.
func (t *Tool) runPath(ctx context.Context) (*Report, error) {
	direct := NewClient(NewBalancer(t.settings.Path.Direct, t.settings.Seed))
	defer direct.Close()
	start := time.Now()
	t.warmUp(ctx)
	rep := Summarise(nil)
	for _, n := range t.settings.Path.OpenStreams {
		p, err := t.pathPoint(ctx, direct, n)
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

func (t *Tool) warmUp(ctx context.Context) {
	for i := range t.settings.Path.WarmupRequests {
		t.probe(ctx, t.client, uint64(i))
	}
}

// probeTokens is the prompt length of probes and streams: the shortest one.
const probeTokens = 1000

func (t *Tool) call(nonce uint64, tokens int) *Call {
	r := workload.Request{PromptTokens: probeTokens, Nonce: nonce}
	c := &Call{Model: t.settings.Model, Prompt: r.Text(), Tokens: tokens, Stream: true, Chat: true}
	if len(t.settings.Keys) > 0 {
		c.Key = t.settings.Keys[nonce%uint64(len(t.settings.Keys))]
	}
	return c
}

func (t *Tool) probe(ctx context.Context, c *Client, nonce uint64) *Result {
	return c.Do(ctx, t.call(nonce, 1))
}

// openStreams are streams that are being received in the background.
type openStreams struct {
	cancel context.CancelFunc
	all    sync.WaitGroup
	tokens atomic.Int64
	broken atomic.Int64
}

func (o *openStreams) close() {
	o.cancel()
	o.all.Wait()
}

// open opens n streams and waits for the first token of each.
func (t *Tool) open(ctx context.Context, n int) (*openStreams, error) {
	sctx, cancel := context.WithCancel(ctx)
	o := &openStreams{cancel: cancel}
	// Each stream reports its first token and its end.
	first := make(chan error, 2*n)
	for i := range n {
		o.all.Go(func() {
			err := t.receive(sctx, t.call(uint64(i)<<32, t.settings.Path.StreamTokens), o, first)
			if sctx.Err() == nil {
				o.broken.Add(1)
			}
			first <- err
		})
	}
	for range n {
		select {
		case err := <-first:
			if err != nil {
				o.close()
				return nil, errors.Trace(err)
			}
		case <-ctx.Done():
			o.close()
			return nil, errors.Trace(ctx.Err())
		}
	}
	return o, nil
}

// receive counts the events of a stream without parsing them, so that the load
// tool does not become the bottleneck.
func (t *Tool) receive(ctx context.Context, call *Call, o *openStreams, first chan<- error) error {
	body, err := marshal(call)
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
	seen := false
	for {
		n, err := resp.Body.Read(buf)
		if events := strings.Count(string(buf[:n]), "data: "); events > 0 {
			o.tokens.Add(int64(events))
			if !seen {
				seen = true
				first <- nil
			}
		}
		if err != nil {
			return errors.Annotate(err, "read stream")
		}
	}
}

func (t *Tool) pathPoint(ctx context.Context, direct *Client, n int) (*PathPoint, error) {
	o, err := t.open(ctx, n)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer o.close()
	before, tokens, start := t.scrape(ctx), o.tokens.Load(), time.Now()
	p := &PathPoint{OpenStreams: n}
	ways := []*Client{direct, t.client}
	recorded := []*Recorder{NewRecorder(), NewRecorder()}
	rng := rand.New(rand.NewPCG(t.settings.Seed, uint64(n)))
	for i := range t.settings.Path.Probes {
		for _, way := range rng.Perm(2) {
			r := t.probe(ctx, ways[way], uint64(n)<<40|uint64(i)<<1|uint64(way))
			if r.Outcome != OK {
				p.FailedProbes++
				continue
			}
			recorded[way].Add(r.TTFT)
		}
	}
	seconds := time.Since(start).Seconds()
	after := t.scrape(ctx)
	relayed := float64(o.tokens.Load() - tokens)
	p.Direct, p.Entry = recorded[0].Times(), recorded[1].Times()
	p.AddedP50, p.AddedP99 = p.Entry.P50-p.Direct.P50, p.Entry.P99-p.Direct.P99
	p.BrokenStreams, p.TokensPerSecond = o.broken.Load(), relayed/seconds
	if p.CPUSeconds = after.cpu - before.cpu; p.CPUSeconds > 0 {
		p.TokensPerCPUSecond = relayed / p.CPUSeconds
	}
	p.HeapBytes = after.memory
	return p, nil
}

// usage is the sum over all entry processes.
type usage struct{ cpu, memory float64 }

// scrape reads CPU time and memory from the metrics of the entry processes;
// what cannot be read counts as zero.
func (t *Tool) scrape(ctx context.Context) usage {
	var u usage
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
				u.cpu += v
			case "go_memstats_heap_inuse_bytes", "go_memstats_stack_inuse_bytes":
				u.memory += v
			}
		}
	}
	return u
}

// writePath prints the points as a table.
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
