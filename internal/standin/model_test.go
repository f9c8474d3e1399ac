package standin

import (
	"fmt"
	"strings"
	"testing"

	"bilberryhub/internal/openai"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// modelScript runs the datadriven commands of testdata/model on a model. The output
// of a step is its duration and the tokens it produced, with a mark on the last
// token of a job.
type modelScript struct {
	m    *model
	jobs map[string]*job
}

func (s *modelScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		cfg := DefaultModel()
		d.MaybeScanArgs(t, "memory", &cfg.MemoryTokens)
		d.MaybeScanArgs(t, "batch", &cfg.MaxBatch)
		d.MaybeScanArgs(t, "chunk", &cfg.ChunkTokens)
		s.m, s.jobs = newModel(cfg), map[string]*job{}
	case "cold":
		s.m.cold = true
	case "add":
		return s.add(t, d)
	case "step":
		n := 1
		d.MaybeScanArgs(t, "n", &n)
		return s.step(n)
	case "cancel":
		var id string
		d.ScanArgs(t, "id", &id)
		s.m.cancel(s.jobs[id])
	case "release":
		var id string
		d.ScanArgs(t, "id", &id)
		return fmt.Sprintln(s.m.release(s.jobs[id]))
	case "memory":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return fmt.Sprintf("reserved=%d cached=%d waiting=%d running=%d wasted=%d\n", s.m.mem.reserved(),
		s.m.mem.idle.Len()*openai.BlockTokens, len(s.m.waiting), len(s.m.running), s.m.stats.WastedTokens)
}

func (s *modelScript) add(t *testing.T, d *datadriven.TestData) string {
	j := &job{maxTokens: 1}
	var text string
	d.ScanArgs(t, "id", &j.id)
	d.ScanArgs(t, "prompt", &j.promptTokens)
	d.MaybeScanArgs(t, "out", &j.maxTokens)
	d.MaybeScanArgs(t, "priority", &j.priority)
	d.MaybeScanArgs(t, "text", &text)
	j.export = d.HasArg("export")
	j.imported = d.HasArg("imported")
	if text != "" {
		j.hashes = openai.PrefixHashes(strings.Repeat(text, j.promptTokens*openai.BytesPerToken/len(text)))
	}
	if !s.m.fits(j) {
		return "too large\n"
	}
	s.m.add(j)
	s.jobs[j.id] = j
	return ""
}

func (s *modelScript) step(n int) string {
	var b strings.Builder
	for range n {
		duration, ok := s.m.startStep()
		if !ok {
			b.WriteString("idle\n")
			continue
		}
		fmt.Fprintf(&b, "%v:", duration)
		for _, tok := range s.m.finishStep() {
			fmt.Fprintf(&b, " %s%d", tok.job.id, tok.index)
			if tok.last {
				b.WriteString("!")
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Guards against a model that prefills in the wrong order, lets long prompts block
// short ones of a lower priority value, or leaks memory.
func TestModel(t *testing.T) {
	s := &modelScript{}
	datadriven.RunTest(t, "testdata/model", s.run)
}

// Guards against memory that stays reserved after some order of arrivals,
// cancellations, exports and steps.
func TestModelReleasesMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultModel()
		cfg.MemoryTokens, cfg.ChunkTokens, cfg.MaxBatch = 20_000, 1000, 4
		m := newModel(cfg)
		var jobs []*job
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				j := &job{
					promptTokens: rapid.IntRange(1, 8000).Draw(t, "prompt"),
					maxTokens:    rapid.IntRange(1, 5).Draw(t, "out"),
					priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
					export:       rapid.Bool().Draw(t, "export"),
				}
				text := strings.Repeat(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "text"), j.promptTokens*openai.BytesPerToken)
				j.hashes = openai.PrefixHashes(text)
				m.add(j)
				jobs = append(jobs, j)
			case 1:
				if len(jobs) > 0 {
					m.cancel(rapid.SampledFrom(jobs).Draw(t, "cancelled"))
				}
			default:
				if _, ok := m.startStep(); ok {
					m.finishStep()
				}
			}
			if used := m.mem.privateTokens + len(m.mem.blocks)*openai.BlockTokens; used > cfg.MemoryTokens || m.mem.privateTokens < 0 {
				t.Fatalf("used %d of %d tokens, private %d", used, cfg.MemoryTokens, m.mem.privateTokens)
			}
		}
		for _, j := range jobs {
			m.cancel(j)
			m.release(j)
		}
		if r := m.mem.reserved(); r != 0 {
			t.Fatalf("%d tokens stay reserved", r)
		}
	})
}
