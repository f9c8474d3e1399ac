// Package observe provides what operators see of a process: structured logs,
// metrics in Prometheus text format, a health answer and a full state dump.
package observe

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a JSON logger that names the process, and installs it as
// the global logger. Level is one of debug, info, warn and error.
func NewLogger(process, id, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotatef(err, "parse log level %q", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(lvl)
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	// Sampling would drop lines that name single requests.
	cfg.Sampling = nil
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg.EncoderConfig), newQueue(os.Stdout), cfg.Level)
	log := zap.New(core, zap.Fields(zap.String("process", process), zap.String("id", id)))
	zap.ReplaceGlobals(log)
	return log, nil
}

// Error returns a log field with the text of err. Unlike zap.Error it leaves
// out the annotated stack, which is longer than the rest of the line.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// Milliseconds returns a log field with a duration in milliseconds.
func Milliseconds(key string, d time.Duration) zap.Field {
	return zap.Float64(key, float64(d)/float64(time.Millisecond))
}

// Admin serves /metrics, /health and /dump of one process.
type Admin struct {
	dump    func() (any, error)
	drained atomic.Bool
	server  *http.Server
}

// NewAdmin returns an Admin whose state dump is the JSON encoding of what dump
// returns.
func NewAdmin(dump func() (any, error)) *Admin { return &Admin{dump: dump} }

// SetDraining makes /health answer 503, so that the balancer stops sending
// new connections.
func (a *Admin) SetDraining() { a.drained.Store(true) }

// Register adds the handlers to mux.
func (a *Admin) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	// The profiles are for measurements; the address is local.
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if a.drained.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		doc, err := a.Document()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(doc)
	})
}

// Document returns the state dump as JSON.
func (a *Admin) Document() ([]byte, error) {
	v, err := a.dump()
	if err != nil {
		return nil, errors.Annotate(err, "collect state dump")
	}
	return json.MarshalIndent(v, "", "  ")
}

// Serve listens on address and serves until Close.
func (a *Admin) Serve(address string) error {
	mux := http.NewServeMux()
	a.Register(mux)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen for administration on %s", address)
	}
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = a.server.Serve(l) }()
	return nil
}

// Close stops serving.
func (a *Admin) Close() error {
	if a.server == nil {
		return nil
	}
	return a.server.Close()
}
