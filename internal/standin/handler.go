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

// maxBodyBytes limits request bodies; a prompt of a million tokens has 4 MB.
const maxBodyBytes = 64 << 20

// boot is one boot of an instance, with the state that a crash loses. Either engine
// or plain is set. number is the boot number.
type boot struct {
	in     *Instance
	number uint64
	engine *engine
	plain  *plain
	// announced holds the times of the announcements of this boot.
	announced announcementTimes
	pauses    pauseWindow
}

// routes returns the handler of the port of the instance.
func (b *boot) routes() http.Handler {
	mux := http.NewServeMux()
	if b.engine != nil {
		mux.HandleFunc("POST "+openai.ChatPath, func(w http.ResponseWriter, r *http.Request) { b.serveCompletion(w, r, true) })
		mux.HandleFunc("POST "+openai.CompletionPath, func(w http.ResponseWriter, r *http.Request) { b.serveCompletion(w, r, false) })
		mux.HandleFunc("GET "+openai.StreamsPath+"{id}", b.resume)
		mux.HandleFunc("DELETE "+openai.StreamsPath+"{id}", b.cancelStream)
		mux.HandleFunc("POST "+exportPath+"{id}", b.renewExport)
		mux.HandleFunc("DELETE "+exportPath+"{id}", b.releaseExport)
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

// writeTruncated writes the first half of a document with the Content-Length of the
// whole one, so that the receiver can detect the truncation.
func writeTruncated(w http.ResponseWriter, v any) {
	doc, err := json.Marshal(v)
	if err != nil {
		// The documents have only strings and numbers, so they can be encoded.
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(doc)))
	_, _ = w.Write(doc[:len(doc)/2])
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"code": code, "message": message}})
}

// dropConnection resets the connection without a response.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serveCompletion serves a completion request; chat selects the chat format.
func (b *boot) serveCompletion(w http.ResponseWriter, hr *http.Request, chat bool) {
	r, ok := b.readRequest(w, hr, chat)
	if !ok {
		return
	}
	if r.injected.crash {
		b.in.crash(b, "marked request")
		dropConnection(w)
		return
	}
	if r.injected.dropConnection {
		dropConnection(w)
		return
	}
	if b.notices(w, r.injected) {
		r.kvSource.release()
		return
	}
	r.stream.attach()
	if b.in.faults.get().Leaving {
		b.in.stats.AfterLeaving.Add(1)
	}
	if err := b.engine.submit(r); err != nil {
		r.kvSource.release()
		var p *protocolError
		if errors.As(err, &p) {
			writeError(w, p.status, p.code, p.message)
			return
		}
		dropConnection(w)
		return
	}
	defer b.detach(r)
	w.Header().Set(openai.HeaderRequestID, r.completion.id)
	if r.body.Stream {
		b.sendEvents(w, hr, r, 0)
		return
	}
	b.sendResponse(w, hr, r)
}

// readRequest parses a completion request and builds its job. If it returns false
// it has written the error response.
func (b *boot) readRequest(w http.ResponseWriter, hr *http.Request, chat bool) (*request, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", err.Error())
		return nil, false
	}
	if b.refuseOldGrant(w, hr) {
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
		id: id, body: body, stream: newStream(), prefixTokens: tokens,
		resumable: body.Stream && hr.Header.Get(openai.HeaderResumable) == "1",
		injected:  b.in.faults.forNextRequest(text),
		job: &job{
			id: id, priority: body.Priority, promptTokens: tokens, maxTokens: body.OutputTokens(),
			hashes: openai.PrefixHashes(text),
		},
	}
	r.job.hashes = r.job.hashes[:min(len(r.job.hashes), tokens/openai.BlockTokens)]
	if err := b.applyKVTransfer(r, body.KVTransferParams); err != nil {
		writeError(w, http.StatusConflict, "kv_transfer_failed", err.Error())
		return nil, false
	}
	r.completion = newCompletion(id, text, tokens, body, chat)
	b.applyIDFaults(r, text)
	return r, true
}

// applyKVTransfer applies kv_transfer_params to the request and its job. It returns
// an error if the import fails.
func (b *boot) applyKVTransfer(r *request, kv *openai.KVTransfer) error {
	if kv == nil {
		return nil
	}
	start := 0
	if kv.DoRemotePrefill {
		src, info, err := b.engine.importFrom(kv)
		if err != nil {
			return errors.Trace(err)
		}
		r.kvSource, start = src, info.PromptTokens
		r.job.imported = kv.PartTokens == 0
	}
	if kv.PartTokens > 0 {
		r.job.promptTokens = kv.PartTokens
		r.prefixTokens = start + kv.PartTokens
		// Parts are not cached, because their blocks are not the prefix of a
		// prompt.
		r.job.hashes = nil
	}
	if kv.DoRemoteDecode {
		r.job.export, r.job.maxTokens = true, 1
	}
	return nil
}

// applyIDFaults applies the faults that replace the request id of the response, or
// the response by that to another request.
func (b *boot) applyIDFaults(r *request, text string) {
	switch {
	case r.injected.crossID:
		b.engine.mu.Lock()
		defer b.engine.mu.Unlock()
		if previous := b.engine.lastRequest; previous != nil {
			r.completion = newCompletion(previous.completion.id, previous.completion.prompt, previous.completion.usage.PromptTokens, previous.body, r.completion.chat)
			return
		}
		fallthrough
	case r.injected.wrongID:
		r.completion = newCompletion("wrong-"+r.id, text, r.completion.usage.PromptTokens, r.body, r.completion.chat)
	}
}

// sendEvents writes the events of a stream from position from until the stream ends
// or the client disconnects.
func (b *boot) sendEvents(w http.ResponseWriter, hr *http.Request, r *request, from int) {
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

// sendResponse waits for the end of the request and writes the completion as one
// document.
func (b *boot) sendResponse(w http.ResponseWriter, hr *http.Request, r *request) {
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
		dropConnection(w)
		return
	}
	events, _, _ := r.stream.read(0)
	var text strings.Builder
	for _, e := range events {
		text.WriteString(e.text)
	}
	completion := r.completion.response(text.String(), r.exportedKV)
	if r.injected.truncate {
		writeTruncated(w, completion)
		return
	}
	writeJSON(w, http.StatusOK, completion)
}

// detach detaches a reader from the stream of a request. If it was the last one and
// the stream has not ended, the request is cancelled; a resumable one only if no
// reader attaches within the resume period.
func (b *boot) detach(r *request) {
	attachments, last := r.stream.detach()
	_, ended, _ := r.stream.read(0)
	if !last || ended {
		return
	}
	if !r.resumable {
		b.cancel(r)
		return
	}
	time.AfterFunc(seconds(b.in.cfg.Model.ResumeSeconds), func() {
		if r.stream.isIdleSince(attachments) {
			b.cancel(r)
		}
	})
}

// cancel cancels a request, unless the fault IgnoreCancel is set.
func (b *boot) cancel(r *request) {
	if b.in.faults.get().IgnoreCancel {
		b.in.stats.CancelsIgnored.Add(1)
		return
	}
	b.engine.cancel(r)
}

// resume attaches to the stream of an open or recently finished request and writes
// the events after Last-Event-ID, or all of them without that header.
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
	w.Header().Set(openai.HeaderRequestID, r.completion.id)
	b.sendEvents(w, hr, r, from)
}

// cancelStream cancels a request by its id.
func (b *boot) cancelStream(w http.ResponseWriter, hr *http.Request) {
	r := b.engine.find(hr.PathValue("id"))
	if r == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream is kept")
		return
	}
	b.cancel(r)
	w.WriteHeader(http.StatusNoContent)
}

// exportID returns the export id in the path.
func exportID(hr *http.Request) int64 {
	// An invalid number yields 0, or a limit of int64 if it is out of range; no
	// export has such an id.
	id, _ := strconv.ParseInt(hr.PathValue("id"), 10, 64)
	return id
}

func (b *boot) renewExport(w http.ResponseWriter, hr *http.Request) {
	info, ok := b.engine.renewExport(exportID(hr))
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_export", "the export was released or has expired")
		return
	}
	writeJSON(w, http.StatusOK, info)
}

func (b *boot) releaseExport(w http.ResponseWriter, hr *http.Request) {
	if !b.engine.releaseExport(exportID(hr), false) {
		writeError(w, http.StatusNotFound, "unknown_export", "the export was released or has expired")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
