package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"bilberryhub/internal/openai"
)

// HeaderEffectID names the effect of a call of a plain service. The body field
// effect_id may be used instead.
const HeaderEffectID = "X-Effect-Id"

// effects counts the runs of each effect. It outlives crashes, as the world
// outside a backend server does.
type effects struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *effects) run(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	return e.runs[id]
}

func (e *effects) all() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// plain is one boot of a plain service.
type plain struct {
	mu   sync.Mutex
	open map[string]int
}

func (p *plain) change(id string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id] += by; p.open[id] == 0 {
		delete(p.open, id)
	}
}

func (p *plain) load() loadState {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := loadState{open: []string{}}
	for id := range p.open {
		l.open = append(l.open, id)
	}
	return l
}

// PlainReply answers a call of a plain service.
type PlainReply struct {
	RequestID string `json:"request_id"`
	EffectID  string `json:"effect_id,omitempty"`
	Runs      int    `json:"runs,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Boot      uint64 `json:"boot"`
	Server    string `json:"server"`
}

func (b *boot) servePlain(w http.ResponseWriter, hr *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", err.Error())
		return
	}
	faults := b.in.faults.draw(string(raw))
	if faults.crash {
		b.in.crash(b, "marked request")
		drop(w)
		return
	}
	if faults.drop {
		drop(w)
		return
	}
	if b.in.faults.get().Leaving {
		b.in.stats.AfterLeaving.Add(1)
	}
	id := hr.Header.Get(openai.HeaderRequestID)
	b.plain.change(id, 1)
	defer b.plain.change(id, -1)
	b.in.stats.Requests.Add(1)
	reply := PlainReply{RequestID: id, Method: hr.Method, Path: hr.URL.Path, Boot: b.number, Server: b.in.cfg.ID}
	if reply.EffectID = effectID(hr, raw); reply.EffectID != "" && hr.Method != http.MethodGet {
		reply.Runs = b.in.effects.run(reply.EffectID)
	}
	if faults.hangAfter > 0 {
		<-hr.Context().Done()
		return
	}
	if wait := time.Duration(float64(millis(b.in.cfg.PlainMS)) * b.in.scale); wait > 0 {
		select {
		case <-time.After(wait):
		case <-hr.Context().Done():
			return
		}
	}
	if faults.dropAfterRun {
		drop(w)
		return
	}
	b.in.stats.Completed.Add(1)
	if faults.wrongID || faults.crossID {
		reply.RequestID = "wrong-" + id
	}
	b.answerPlain(w, &reply, faults.truncate)
}

func (b *boot) answerPlain(w http.ResponseWriter, reply *PlainReply, truncate bool) {
	w.Header().Set(openai.HeaderRequestID, reply.RequestID)
	if truncate {
		writePart(w, reply)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func effectID(hr *http.Request, raw []byte) string {
	if id := hr.Header.Get(HeaderEffectID); id != "" {
		return id
	}
	var body struct {
		EffectID string `json:"effect_id"`
	}
	// A body that is no JSON names no effect.
	_ = json.Unmarshal(raw, &body)
	return body.EffectID
}

func (b *boot) effects(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.in.effects.all())
}
