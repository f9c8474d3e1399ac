package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"bilberryhub/internal/standin"
)

// Guards against two prompts larger than one engine that hold half of each
// other's memory, against memory that is lost with a member, and against a
// refusal of a prompt that a group can hold (promises 1 and 2).
func TestPromptsLargerThanOneEngine(t *testing.T) {
	const memory, tokens = 4096, 10_000
	c := newCluster(t, layout{
		domains: 1, entriesPerDomain: 2, enginesPerDomain: 4, coldLimit: 8,
		timeScale: 1,
		// One part takes longer than a permit lives.
		model: func(m *standin.ModelSettings) {
			m.MemoryTokens, m.ExportSeconds, m.RestartSeconds, m.PrefillTokensPerSecond = memory, 2, 1, 6000
		},
	})
	large := func(i int) prompt {
		return prompt{
			text:   fmt.Sprint("ordinance bundle ", i, strings.Repeat(" paragraph", 400)),
			tokens: tokens, output: 16, stream: true,
		}
	}
	c.eventually("all engines are known", func() bool { return c.ask(1, prompt{tokens: 3 * memory, output: 1}).status == http.StatusOK })
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			if got := c.ask(i%2, large(i)); !got.complete() {
				t.Errorf("prompt %d: status %d, code %q: %.300s", i, got.status, got.code, got.body)
			}
		})
	}
	wg.Wait()
	c.eventually("all memory is given back", func() bool { return c.reserved() == 0 && c.reservedByDispatchers() == 0 })

	done := make(chan answer, 1)
	go func() { done <- c.ask(0, large(9)) }()
	c.eventually("a group works", func() bool { return c.reserved() > 0 })
	for _, e := range c.engines() {
		if e.Stats().ReservedTokens > 0 {
			c.setFaults(e, func(f *standin.Faults) { f.Crash = true })
			break
		}
	}
	if got := <-done; !got.complete() && got.run != "unknown" {
		t.Errorf("after the loss of a member: code %q, run %q", got.code, got.run)
	}
	c.eventually("all memory is given back after a loss", func() bool { return c.reserved() == 0 && c.reservedByDispatchers() == 0 })

	if got := c.ask(0, prompt{tokens: 4*memory + 1}); got.code != "prompt_too_large" || got.run != "no" {
		t.Errorf("a prompt for which no group exists: code %q, run %q", got.code, got.run)
	}
}

// reservedByDispatchers returns the memory that all dispatchers hold reserved.
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
