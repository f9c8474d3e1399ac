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

// exportInfo is the response to an import.
type exportInfo struct {
	// PromptTokens is the length of the prompt up to the end of the exported
	// prefix.
	PromptTokens int `json:"prompt_tokens"`
}

// exportPath is the path under which other engines import an export by its id:
// POST imports it or renews its lifetime, DELETE releases it.
const exportPath = "/v1/kv/"

// addExport registers the KV cache of a request as an export, which expires after
// ExportSeconds unless it is renewed. The caller holds e.mu.
func (e *engine) addExport(r *request) {
	e.lastExportID++
	x := &export{id: e.lastExportID, request: r}
	e.exports[x.id] = x
	x.expires = time.AfterFunc(seconds(e.cfg.Model.ExportSeconds), func() { e.releaseExport(x.id, true) })
	host, port, _ := net.SplitHostPort(e.cfg.Address)
	n, _ := strconv.Atoi(port)
	r.exportedKV = &openai.KVTransfer{
		DoRemotePrefill: true, RemoteEngineID: e.cfg.ID, RemoteBlockIDs: []int64{x.id},
		RemoteHost: host, RemotePort: n,
	}
}

// releaseExport frees the memory of an export and releases the export that its
// request has imported, if any. expired is true at the end of its lifetime; an
// export that nobody has imported then counts as expired and its tokens as wasted.
// It reports whether the export existed.
func (e *engine) releaseExport(id int64, expired bool) bool {
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
	x.request.kvSource.release()
	return true
}

// renewExport marks an export as imported and renews its lifetime. It reports
// whether the export exists.
func (e *engine) renewExport(id int64) (*exportInfo, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.exports[id]
	if x == nil {
		return nil, false
	}
	x.imported = true
	x.expires.Reset(seconds(e.cfg.Model.ExportSeconds))
	return &exportInfo{PromptTokens: x.request.prefixTokens}, true
}

// kvSource is an export of another engine that a request imports.
type kvSource struct {
	url      string
	once     sync.Once
	released chan struct{}
}

var peerClient = &http.Client{Timeout: 2 * time.Second}

// importFrom imports the export named by kv and renews its lifetime until the
// kvSource is released or the engine is closed.
func (e *engine) importFrom(kv *openai.KVTransfer) (*kvSource, *exportInfo, error) {
	if len(kv.RemoteBlockIDs) == 0 || kv.RemoteHost == "" {
		return nil, nil, errors.New("kv_transfer_params: remote_host and remote_block_ids are required")
	}
	s := &kvSource{url: fmt.Sprintf("http://%s%s%d",
		net.JoinHostPort(kv.RemoteHost, strconv.Itoa(kv.RemotePort)), exportPath, kv.RemoteBlockIDs[0])}
	info := &exportInfo{}
	if err := s.renew(info); err != nil {
		return nil, nil, errors.Trace(err)
	}
	s.released = make(chan struct{})
	// Three renewals per lifetime tolerate the loss of two.
	interval := seconds(e.cfg.Model.ExportSeconds) / 3
	e.wg.Go(func() { s.keepAlive(e.ctx, interval) })
	return s, info, nil
}

// renew imports the export or renews its lifetime, and decodes the response into
// info.
func (s *kvSource) renew(info *exportInfo) error {
	resp, err := sling.New().Client(peerClient).Post(s.url).ReceiveSuccess(info)
	if err != nil {
		return errors.Annotatef(err, "import KV cache from %s", s.url)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("import KV cache from %s: status %d", s.url, resp.StatusCode)
	}
	return nil
}

// keepAlive renews the lifetime of the export every interval until release is
// called, and then releases it at the engine that holds it. If ctx is cancelled
// first, because the importing engine is closed, the export is left to expire.
func (s *kvSource) keepAlive(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.released:
			_, _ = sling.New().Client(peerClient).Delete(s.url).ReceiveSuccess(nil)
			return
		case <-ticker.C:
			_ = s.renew(&exportInfo{})
		}
	}
}

// release makes keepAlive release the export. It may be called on nil and more than
// once.
func (s *kvSource) release() {
	if s != nil {
		s.once.Do(func() { close(s.released) })
	}
}
