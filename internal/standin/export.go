package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bilberryhub/internal/openai"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// export is the KV cache of a finished prefill that another engine may import.
type export struct {
	id       int64
	request  *request
	expires  *time.Timer
	imported bool
}

// exportInfo answers an import.
type exportInfo struct {
	// PromptTokens is where the exported prefix ends in the prompt.
	PromptTokens int `json:"prompt_tokens"`
}

// exportPath is where importers of an engine reach an export: POST imports it
// or extends its lifetime, DELETE gives it back.
const exportPath = "/v1/kv/"

// addExport registers the memory of a request. The caller holds e.mu.
func (e *engine) addExport(r *request) {
	e.nextExport++
	x := &export{id: e.nextExport, request: r}
	e.exports[x.id] = x
	x.expires = time.AfterFunc(seconds(e.cfg.Model.ExportSeconds), func() { e.dropExport(x.id, true) })
	host, port, _ := net.SplitHostPort(e.cfg.Address)
	n, _ := strconv.Atoi(port)
	r.kv = &openai.KVTransfer{
		DoRemotePrefill: true, RemoteEngineID: e.cfg.ID, RemoteBlockIDs: []int64{x.id},
		RemoteHost: host, RemotePort: n,
	}
}

// dropExport releases an export and what it has imported itself. It reports
// whether the export existed.
func (e *engine) dropExport(id int64, expired bool) bool {
	e.mu.Lock()
	x := e.exports[id]
	if x != nil {
		delete(e.exports, id)
		x.expires.Stop()
		if expired && !x.imported {
			e.stats.ExportsExpired.Add(1)
			e.model.stats.WastedTokens += uint64(x.request.job.promptTokens)
		}
		e.model.release(x.request.job)
	}
	e.mu.Unlock()
	e.signal()
	if x == nil {
		return false
	}
	x.request.source.release()
	return true
}

// touchExport marks an export as imported and extends its lifetime.
func (e *engine) touchExport(id int64) (*exportInfo, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.exports[id]
	if x == nil {
		return nil, false
	}
	x.imported = true
	x.expires.Reset(seconds(e.cfg.Model.ExportSeconds))
	return &exportInfo{PromptTokens: x.request.endTokens}, true
}

// source is the imported export of a request.
type source struct {
	url      string
	once     sync.Once
	released chan struct{}
}

var peerClient = &http.Client{Timeout: 2 * time.Second}

// importFrom imports the export named by kv and keeps it alive until release.
func (e *engine) importFrom(kv *openai.KVTransfer) (*source, *exportInfo, error) {
	if len(kv.RemoteBlockIDs) == 0 || kv.RemoteHost == "" {
		return nil, nil, errors.New("kv_transfer_params: remote_host and remote_block_ids are required")
	}
	s := &source{url: fmt.Sprintf("http://%s%s%d",
		net.JoinHostPort(kv.RemoteHost, strconv.Itoa(kv.RemotePort)), exportPath, kv.RemoteBlockIDs[0])}
	info := &exportInfo{}
	if err := s.touch(info); err != nil {
		return nil, nil, errors.Trace(err)
	}
	s.released = make(chan struct{})
	// Three extensions per lifetime tolerate two lost ones.
	every := seconds(e.cfg.Model.ExportSeconds) / 3
	e.done.Go(func() { s.keep(e.ctx, every) })
	return s, info, nil
}

func (s *source) touch(info *exportInfo) error {
	resp, err := sling.New().Client(peerClient).Post(s.url).ReceiveSuccess(info)
	if err != nil {
		return errors.Annotatef(err, "import KV cache from %s", s.url)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("import KV cache from %s: status %d", s.url, resp.StatusCode)
	}
	return nil
}

// keep extends the lifetime of the export until it is released, and then gives
// it back. When the engine is lost the export expires instead.
func (s *source) keep(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.released:
			_, _ = sling.New().Client(peerClient).Delete(s.url).ReceiveSuccess(nil)
			return
		case <-ticker.C:
			_ = s.touch(&exportInfo{})
		}
	}
}

// release gives the export back. It may be called on nil and more than once.
func (s *source) release() {
	if s != nil {
		s.once.Do(func() { close(s.released) })
	}
}
