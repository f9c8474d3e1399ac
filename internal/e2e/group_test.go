package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"bilberryhub/internal/standin"
)

// TestPromptsLargerThanOneEngine guards against a deadlock of two prompts larger
// than one engine, where each holds part of the memory that the other needs,
// against memory that leaks when a member of a group crashes, and against refusing
// a prompt that a group of engines can hold (promises 1 and 2).
func TestPromptsLargerThanOneEngine(t *testing.T) {
	const memoryTokens, tokens = 4096, 10_000
	c := newCluster(t, layout{
		domains: 1, entriesPerDomain: 2, enginesPerDomain: 4, coldLimit: 8,
		timeScale: 1,
		// One part takes longer than the lifetime of a permit.
		model: func(m *standin.ModelSettings) {
			m.MemoryTokens, m.ExportSeconds, m.RestartSeconds, m.PrefillTokensPerSecond = memoryTokens, 2, 1, 6000
		},
	})
	large := func(i int) prompt {
		return prompt{
			text:   fmt.Sprint("ordinance bundle ", i, strings.Repeat(" paragraph", 400)),
			tokens: tokens, output: 16, stream: true,
		}
	}
	c.eventually("all engines are known", func() bool {
		return c.sendPrompt(1, prompt{tokens: 3 * memoryTokens, output: 1}).status == http.StatusOK
	})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			if got := c.sendPrompt(i%2, large(i)); !got.isComplete() {
				t.Errorf("prompt %d: status %d, code %q: %.300s", i, got.status, got.code, got.body)
			}
		})
	}
	wg.Wait()
	c.eventually("all memory is released", func() bool { return c.reservedTokens() == 0 && c.reservedByDispatchers() == 0 })

	done := make(chan response, 1)
	go func() { done <- c.sendPrompt(0, large(9)) }()
	c.eventually("a group of engines runs the prompt", func() bool { return c.reservedTokens() > 0 })
	for _, e := range c.engines() {
		if e.Stats().ReservedTokens > 0 {
			c.setFaults(e, func(f *standin.Faults) { f.Crash = true })
			break
		}
	}
	if got := <-done; !got.isComplete() && got.run != "unknown" {
		t.Errorf("after the crash of a member: code %q, run %q", got.code, got.run)
	}
	c.eventually("all memory is released after the crash of a member", func() bool { return c.reservedTokens() == 0 && c.reservedByDispatchers() == 0 })

	if got := c.sendPrompt(0, prompt{tokens: 4*memoryTokens + 1}); got.code != "prompt_too_large" || got.run != "no" {
		t.Errorf("a prompt for which no group exists: code %q, run %q", got.code, got.run)
	}
}

// reservedByDispatchers returns the KV memory that all dispatchers together have
// reserved, in tokens.
func (c *cluster) reservedByDispatchers() uint64 {
	sum := uint64(0)
	for i := range c.entries {
		for _, p := range c.pools(i) {
			for _, b := range p.Backends {
				sum += b.Reserved
			}
		}
	}
	return sum
}
