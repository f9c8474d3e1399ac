package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryhub/internal/openai"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// maxBody bounds request bodies; a prompt of a million tokens has 4 MB.
const maxBody = 64 << 20

// boot is one boot of an instance: what a crash takes away.
type boot struct {
	in     *Instance
	number uint64
	engine *engine
	plain  *plain
}

func (b *boot) routes() http.Handler {
	mux := http.NewServeMux()
	if b.engine != nil {
		mux.HandleFunc("POST "+openai.ChatPath, func(w http.ResponseWriter, r *http.Request) { b.complete(w, r, true) })
		mux.HandleFunc("POST "+openai.CompletionPath, func(w http.ResponseWriter, r *http.Request) { b.complete(w, r, false) })
		mux.HandleFunc("GET "+openai.StreamsPath+"{id}", b.resume)
		mux.HandleFunc("DELETE "+openai.StreamsPath+"{id}", b.abandon)
		mux.HandleFunc("POST "+exportPath+"{id}", b.touchExport)
		mux.HandleFunc("DELETE "+exportPath+"{id}", b.dropExport)
		mux.HandleFunc("POST /v1/orders", b.in.orders.handle)
		mux.HandleFunc("GET /v1/orders", b.in.orders.list)
	}
	if b.plain != nil {
		prefix := strings.TrimSuffix(b.in.cfg.PathPrefix, "/")
		mux.HandleFunc(prefix+"/", b.servePlain)
		mux.HandleFunc("GET /admin/effects", b.effects)
	}
	mux.HandleFunc("GET /health", b.health)
	mux.HandleFunc("GET /metrics", b.metrics)
	mux.HandleFunc("GET /admin/stats", b.in.serveStats)
	mux.HandleFunc("/admin/faults", b.in.serveFaults)
	return mux
}

func (b *boot) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"status": "ok", "id": b.in.cfg.ID, "boot": b.number})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writePart writes half of a document under the length of the whole one, which
// makes the loss visible to the receiver.
func writePart(w http.ResponseWriter, v any) {
	doc, err := json.Marshal(v)
	if err != nil {
		// The documents have only strings and numbers.
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(doc)))
	_, _ = w.Write(doc[:len(doc)/2])
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"code": code, "message": message}})
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (b *boot) complete(w http.ResponseWriter, hr *http.Request, chat bool) {
	r, ok := b.read(w, hr, chat)
	if !ok {
		return
	}
	if r.plan.crash {
		b.in.crash(b, "marked request")
		drop(w)
		return
	}
	if r.plan.drop {
		drop(w)
		return
	}
	r.stream.attach()
	if b.in.faults.get().Leaving {
		b.in.stats.AfterLeaving.Add(1)
	}
	if err := b.engine.submit(r); err != nil {
		r.source.release()
		var p *protocolError
		if errors.As(err, &p) {
			writeError(w, p.status, p.code, p.message)
			return
		}
		drop(w)
		return
	}
	defer b.detach(r)
	w.Header().Set(openai.HeaderRequestID, r.answer.id)
	if r.body.Stream {
		b.send(w, hr, r, 0)
		return
	}
	b.sendComplete(w, hr, r)
}

// read parses a completion request and builds its job.
func (b *boot) read(w http.ResponseWriter, hr *http.Request, chat bool) (*request, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", err.Error())
		return nil, false
	}
	body := &openai.Request{}
	if err := json.Unmarshal(raw, body); err != nil {
		writeError(w, http.StatusBadRequest, "bad_json", err.Error())
		return nil, false
	}
	id := hr.Header.Get(openai.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	w.Header().Set(openai.HeaderRequestID, id)
	text := body.Text()
	tokens := openai.Tokens(text)
	if h := hr.Header.Get(openai.HeaderPromptTokens); h != "" && b.in.cfg.Model.AllowPromptTokensHeader {
		if tokens, err = strconv.Atoi(h); err != nil || tokens <= 0 {
			writeError(w, http.StatusBadRequest, "bad_header", "X-Prompt-Tokens is not a positive number")
			return nil, false
		}
	}
	r := &request{
		id: id, body: body, stream: newStream(), endTokens: tokens,
		resumable: body.Stream && hr.Header.Get(openai.HeaderResumable) == "1",
		plan:      b.in.faults.draw(text),
		job: &job{
			id: id, priority: body.Priority, promptTokens: tokens, maxTokens: body.OutputTokens(),
			hashes: openai.PrefixHashes(text),
		},
	}
	r.job.hashes = r.job.hashes[:min(len(r.job.hashes), tokens/openai.BlockTokens)]
	if err := b.transfer(r, body.KVTransferParams); err != nil {
		writeError(w, http.StatusConflict, "kv_transfer_failed", err.Error())
		return nil, false
	}
	r.answer = newAnswer(id, text, tokens, body, chat)
	b.mislabel(r, text)
	return r, true
}

// transfer applies kv_transfer_params to the job.
func (b *boot) transfer(r *request, kv *openai.KVTransfer) error {
	if kv == nil {
		return nil
	}
	start := 0
	if kv.DoRemotePrefill {
		src, info, err := b.engine.importFrom(kv)
		if err != nil {
			return errors.Trace(err)
		}
		r.source, start = src, info.PromptTokens
		r.job.imported = kv.PartTokens == 0
	}
	if kv.PartTokens > 0 {
		r.job.promptTokens = kv.PartTokens
		r.endTokens = start + kv.PartTokens
		// Parts are not shared: their blocks are no prefix of a prompt.
		r.job.hashes = nil
	}
	if kv.DoRemoteDecode {
		r.job.export, r.job.maxTokens = true, 1
	}
	return nil
}

// mislabel applies the faults that mix up answers.
func (b *boot) mislabel(r *request, text string) {
	switch {
	case r.plan.crossID:
		b.engine.mu.Lock()
		defer b.engine.mu.Unlock()
		if o := b.engine.last; o != nil {
			r.answer = newAnswer(o.answer.id, o.answer.prompt, o.answer.usage.PromptTokens, o.body, r.answer.chat)
			return
		}
		fallthrough
	case r.plan.wrongID:
		r.answer = newAnswer("wrong-"+r.id, text, r.answer.usage.PromptTokens, r.body, r.answer.chat)
	}
}

// send writes the events of a stream from the given position until it ends or
// the reader goes away.
func (b *boot) send(w http.ResponseWriter, hr *http.Request, r *request, from int) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	for {
		events, ended, changed := r.stream.read(from)
		for _, e := range events {
			if _, err := w.Write(e.data); err != nil {
				return
			}
		}
		from += len(events)
		if len(events) > 0 {
			if err := rc.Flush(); err != nil {
				return
			}
		}
		if ended {
			return
		}
		select {
		case <-changed:
		case <-hr.Context().Done():
			return
		}
	}
}

func (b *boot) sendComplete(w http.ResponseWriter, hr *http.Request, r *request) {
	for {
		_, ended, changed := r.stream.read(0)
		if ended {
			break
		}
		select {
		case <-changed:
		case <-hr.Context().Done():
			return
		}
	}
	if !b.engine.isComplete(r) {
		drop(w)
		return
	}
	events, _, _ := r.stream.read(0)
	var text strings.Builder
	for _, e := range events {
		text.WriteString(e.text)
	}
	answer := r.answer.complete(text.String(), r.kv)
	if r.plan.truncate {
		writePart(w, answer)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// detach ends an attachment. Without another reader the request is cancelled,
// resumable ones after a while.
func (b *boot) detach(r *request) {
	attached, last := r.stream.detach()
	_, ended, _ := r.stream.read(0)
	if !last || ended {
		return
	}
	if !r.resumable {
		b.cancel(r)
		return
	}
	time.AfterFunc(seconds(b.in.cfg.Model.ResumeSeconds), func() {
		if r.stream.unattended(attached) {
			b.cancel(r)
		}
	})
}

func (b *boot) cancel(r *request) {
	if b.in.faults.get().IgnoreCancel {
		b.in.stats.CancelsIgnored.Add(1)
		return
	}
	b.engine.cancel(r)
}

func (b *boot) resume(w http.ResponseWriter, hr *http.Request) {
	r := b.engine.find(hr.PathValue("id"))
	if r == nil || !r.body.Stream {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream is kept")
		return
	}
	from := 0
	if h := hr.Header.Get(openai.HeaderLastEventID); h != "" {
		n, err := strconv.Atoi(h)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "bad_header", "Last-Event-ID is not a number")
			return
		}
		from = n + 1
	}
	r.stream.attach()
	defer b.detach(r)
	w.Header().Set(openai.HeaderRequestID, r.answer.id)
	b.send(w, hr, r, from)
}

func (b *boot) abandon(w http.ResponseWriter, hr *http.Request) {
	r := b.engine.find(hr.PathValue("id"))
	if r == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream is kept")
		return
	}
	b.cancel(r)
	w.WriteHeader(http.StatusNoContent)
}

func exportID(hr *http.Request) int64 {
	// An invalid number becomes 0, which no export has.
	id, _ := strconv.ParseInt(hr.PathValue("id"), 10, 64)
	return id
}

func (b *boot) touchExport(w http.ResponseWriter, hr *http.Request) {
	info, ok := b.engine.touchExport(exportID(hr))
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_export", "the export was released or has expired")
		return
	}
	writeJSON(w, http.StatusOK, info)
}

func (b *boot) dropExport(w http.ResponseWriter, hr *http.Request) {
	if !b.engine.dropExport(exportID(hr), false) {
		writeError(w, http.StatusNotFound, "unknown_export", "the export was released or has expired")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
