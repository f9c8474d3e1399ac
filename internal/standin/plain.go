package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"bilberryhub/internal/openai"
)

// HeaderEffectID is the header with the id of the effect of a call of a plain
// service. The body field effect_id may be used instead.
const HeaderEffectID = "X-Effect-Id"

// effects counts the runs of each effect by its id. The counts outlive crashes,
// because a crash does not undo the effects of a backend server on other systems.
type effects struct {
	mu   sync.Mutex
	runs map[string]int
}

// record counts a run and returns the number of runs of the effect.
func (e *effects) record(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	return e.runs[id]
}

// snapshot returns a copy of the counts.
func (e *effects) snapshot() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		out[id] = n
	}
	return out
}

// plain is one boot of a plain service. open counts the open requests by id.
type plain struct {
	mu   sync.Mutex
	open map[string]int
}

// addOpen changes the number of open requests with the given id.
func (p *plain) addOpen(id string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id] += by; p.open[id] == 0 {
		delete(p.open, id)
	}
}

// load returns the current load, which is the open requests only.
func (p *plain) load() loadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := loadReport{open: []string{}}
	for id := range p.open {
		l.open = append(l.open, id)
	}
	return l
}

// PlainReply is the response to a call of a plain service.
type PlainReply struct {
	RequestID string `json:"request_id"`
	EffectID  string `json:"effect_id,omitempty"`
	Runs      int    `json:"runs,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Boot      uint64 `json:"boot"`
	Server    string `json:"server"`
}

// servePlain serves a call of a plain service, subject to the faults. A call with an
// effect id counts a run of the effect, unless its method is GET.
func (b *boot) servePlain(w http.ResponseWriter, hr *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", err.Error())
		return
	}
	if b.refuseOldGrant(w, hr) {
		return
	}
	faults := b.in.faults.forNextRequest(string(raw))
	if faults.crash {
		b.in.crash(b, "marked request")
		dropConnection(w)
		return
	}
	if faults.dropConnection {
		dropConnection(w)
		return
	}
	if b.in.faults.get().Leaving {
		b.in.stats.AfterLeaving.Add(1)
	}
	id := hr.Header.Get(openai.HeaderRequestID)
	w.Header().Set(openai.HeaderRequestID, id)
	if b.notices(w, faults) {
		return
	}
	b.plain.addOpen(id, 1)
	defer b.plain.addOpen(id, -1)
	b.in.stats.Requests.Add(1)
	b.in.stats.recent.add(id)
	reply := PlainReply{RequestID: id, Method: hr.Method, Path: hr.URL.Path, Boot: b.number, Server: b.in.cfg.ID}
	if reply.EffectID = effectID(hr, raw); reply.EffectID != "" && hr.Method != http.MethodGet {
		reply.Runs = b.in.effects.record(reply.EffectID)
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
		dropConnection(w)
		return
	}
	b.in.stats.Completed.Add(1)
	if faults.wrongID || faults.crossID {
		reply.RequestID = "wrong-" + id
	}
	b.answerPlain(w, &reply, faults.truncate)
}

// answerPlain writes reply, or the first half of it.
func (b *boot) answerPlain(w http.ResponseWriter, reply *PlainReply, truncate bool) {
	w.Header().Set(openai.HeaderRequestID, reply.RequestID)
	if truncate {
		writeTruncated(w, reply)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// effectID returns the effect id in the header or the body, or "".
func effectID(hr *http.Request, raw []byte) string {
	if id := hr.Header.Get(HeaderEffectID); id != "" {
		return id
	}
	var body struct {
		EffectID string `json:"effect_id"`
	}
	// A body that is not JSON has no effect id.
	_ = json.Unmarshal(raw, &body)
	return body.EffectID
}

// effects serves the number of runs of each effect.
func (b *boot) effects(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.in.effects.snapshot())
}
