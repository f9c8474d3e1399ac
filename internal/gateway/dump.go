package gateway

import "bilberryhub/internal/bootclock"

// jobDump is one running request in the state dump.
type jobDump struct {
	Backend      uint64  `json:"backend"`
	AgeMs        float64 `json:"age_ms"`
	PromptTokens float64 `json:"prompt_tokens"`
	Decoding     bool    `json:"writing"`
	Helper       bool    `json:"helper"`
}

// dump returns the state dump.
func (g *Gateway) dump() (any, error) {
	servers, gateways := g.members.backends()
	g.workTable.mu.Lock()
	defer g.workTable.mu.Unlock()
	now := bootclock.Now()
	jobs := []jobDump{}
	for j := range g.workTable.local {
		jobs = append(jobs, jobDump{j.backend, ms(now - j.sent), j.work.PromptTokens, j.work.Decoding, j.work.Helper})
	}
	return map[string]any{
		"id": g.settings.ID, "failure_domain": g.settings.FailureDomain, "incarnation": g.incarnation,
		"ready": g.notReadyReason() == "", "open_requests": g.open.Load(), "gateways": gateways,
		"backend_servers": servers, "jobs": jobs, "config": g.sync.Status(), "suspects": g.suspects.list(),
		"request_limits": g.limits.list(), "isolated": g.isolation.isIsolated(), "connections_for_peers": g.connects.Open(),
		"notices": g.notices.list(servers, now),
	}, nil
}
