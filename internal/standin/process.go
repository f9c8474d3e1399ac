package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// Process hosts the instances of one settings file and serves their administration.
// ids has the instance ids in the order of the settings.
type Process struct {
	instances          map[string]*Instance
	ids                []string
	admin              *http.Server
	adminListenAddress string
	wg                 sync.WaitGroup
}

// NewProcess creates the instances without starting them.
func NewProcess(s *Settings, log *zap.Logger) *Process {
	p := &Process{instances: map[string]*Instance{}}
	for i, cfg := range s.Instances {
		p.instances[cfg.ID] = NewInstance(cfg, s.TimeScale, s.Seed+uint64(i), log)
		p.ids = append(p.ids, cfg.ID)
	}
	return p
}

// Start boots all instances and serves the administration on the address admin, if
// it is not empty. If it cannot listen on an address, it stops everything and
// returns an error.
func (p *Process) Start(admin string) error {
	for _, id := range p.ids {
		if err := p.instances[id].Start(); err != nil {
			p.Stop()
			return errors.Trace(err)
		}
	}
	if admin == "" {
		return nil
	}
	l, err := net.Listen("tcp", admin)
	if err != nil {
		p.Stop()
		return errors.Annotatef(err, "listen for administration on %s", admin)
	}
	p.adminListenAddress = l.Addr().String()
	p.admin = &http.Server{Handler: p.routes(), ReadHeaderTimeout: 5 * time.Second}
	p.wg.Go(func() { _ = p.admin.Serve(l) })
	return nil
}

// Instance returns the instance with the given id, or nil.
func (p *Process) Instance(id string) *Instance { return p.instances[id] }

// routes returns the handler of the administration: the stats of all instances, and
// the stats, faults and effects of one.
func (p *Process) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		all := make([]*StatsDocument, 0, len(p.ids))
		for _, id := range p.ids {
			all = append(all, p.instances[id].Stats())
		}
		writeJSON(w, http.StatusOK, all)
	})
	withInstance := func(serve func(*Instance, http.ResponseWriter, *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, hr *http.Request) {
			in := p.instances[hr.PathValue("id")]
			if in == nil {
				writeError(w, http.StatusNotFound, "unknown_instance", "no instance has this id")
				return
			}
			serve(in, w, hr)
		}
	}
	mux.HandleFunc("GET /admin/instances/{id}/stats", withInstance((*Instance).serveStats))
	mux.HandleFunc("/admin/instances/{id}/faults", withInstance((*Instance).serveFaults))
	mux.HandleFunc("GET /admin/instances/{id}/effects", withInstance(func(in *Instance, w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, in.Effects())
	}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"status": "ok", "instances": p.ids})
	})
	return mux
}

// Stop ends all instances and the administration and waits for their goroutines.
func (p *Process) Stop() {
	if p.admin != nil {
		_ = p.admin.Close()
	}
	var stopping sync.WaitGroup
	for _, in := range p.instances {
		stopping.Go(in.Stop)
	}
	stopping.Wait()
	p.wg.Wait()
}

// AdminAddress returns the listen address of the administration after Start, or ""
// without administration.
func (p *Process) AdminAddress() string { return p.adminListenAddress }
