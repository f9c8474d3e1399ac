package standin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// Process hosts the instances of one settings file.
type Process struct {
	instances map[string]*Instance
	order     []string
	admin     *http.Server
	adminAt   string
	done      sync.WaitGroup
}

// NewProcess builds the instances without starting them.
func NewProcess(s *Settings, log *zap.Logger) *Process {
	p := &Process{instances: map[string]*Instance{}}
	for i, cfg := range s.Instances {
		p.instances[cfg.ID] = NewInstance(cfg, s.TimeScale, s.Seed+uint64(i), log)
		p.order = append(p.order, cfg.ID)
	}
	return p
}

// Start boots all instances and serves the administration on admin, if set.
func (p *Process) Start(admin string) error {
	for _, id := range p.order {
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
	p.adminAt = l.Addr().String()
	p.admin = &http.Server{Handler: p.routes(), ReadHeaderTimeout: 5 * time.Second}
	p.done.Go(func() { _ = p.admin.Serve(l) })
	return nil
}

// Instance returns the instance with the given id, or nil.
func (p *Process) Instance(id string) *Instance { return p.instances[id] }

// routes serves the stats of all instances, and those and the faults of one.
func (p *Process) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		all := make([]*StatsDocument, 0, len(p.order))
		for _, id := range p.order {
			all = append(all, p.instances[id].Stats())
		}
		writeJSON(w, http.StatusOK, all)
	})
	one := func(serve func(*Instance, http.ResponseWriter, *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, hr *http.Request) {
			in := p.instances[hr.PathValue("id")]
			if in == nil {
				writeError(w, http.StatusNotFound, "unknown_instance", "no instance has this id")
				return
			}
			serve(in, w, hr)
		}
	}
	mux.HandleFunc("GET /admin/instances/{id}/stats", one((*Instance).serveStats))
	mux.HandleFunc("/admin/instances/{id}/faults", one((*Instance).serveFaults))
	mux.HandleFunc("GET /admin/instances/{id}/effects", one(func(in *Instance, w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, in.Effects())
	}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"status": "ok", "instances": p.order})
	})
	return mux
}

// Stop ends all instances.
func (p *Process) Stop() {
	if p.admin != nil {
		_ = p.admin.Close()
	}
	var all sync.WaitGroup
	for _, in := range p.instances {
		all.Go(in.Stop)
	}
	all.Wait()
	p.done.Wait()
}

// AdminAddress returns the address of the administration after Start.
func (p *Process) AdminAddress() string { return p.adminAt }
