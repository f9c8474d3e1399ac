// Package observe provides the means to observe a process: structured logs, metrics in
// the Prometheus text format, a health check, profiles and a full state dump. It decides
// neither what is measured nor what the dump contains; that is left to the packages that
// own the state.
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

// NewLogger returns a logger that writes JSON lines to standard output, each with the
// process and its id, and installs it as the global logger. Level is the lowest level to
// write, such as debug, info, warn or error. It returns an error if zap has no such level.
func NewLogger(process, id, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Annotatef(err, "parse log level %q", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(minLevel)
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	// Sampling would drop lines about individual requests.
	cfg.Sampling = nil
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg.EncoderConfig), newQueue(os.Stdout), cfg.Level)
	log := zap.New(core, zap.Fields(zap.String("process", process), zap.String("id", id)))
	zap.ReplaceGlobals(log)
	return log, nil
}

// Error returns a log field with the text of err, or a field that is skipped if err is
// nil. Unlike zap.Error it omits the annotated stack, which is longer than the rest of
// the line.
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

// Admin is the HTTP server of one process for administration. It serves /metrics,
// /health, /dump, profiles and the handlers that were added.
type Admin struct {
	dump     func() (any, error)
	handlers map[string]http.HandlerFunc
	draining atomic.Bool
	server   *http.Server
}

// NewAdmin returns an Admin whose state dump is the JSON encoding of what dump
// returns.
func NewAdmin(dump func() (any, error)) *Admin {
	return &Admin{dump: dump, handlers: map[string]http.HandlerFunc{}}
}

// Handle adds a handler for a pattern of http.ServeMux, before Register or Serve is called.
func (a *Admin) Handle(pattern string, h http.HandlerFunc) { a.handlers[pattern] = h }

// SetDraining makes /health respond with status 503, so that the load balancer sends no
// new connections.
func (a *Admin) SetDraining() { a.draining.Store(true) }

// Register adds the handlers of the admin server to mux.
func (a *Admin) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	// The profiles are used for performance measurements. The address is local.
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if a.draining.Load() {
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
	for pattern, h := range a.handlers {
		mux.HandleFunc(pattern, h)
	}
}

// Document returns the state dump as indented JSON.
func (a *Admin) Document() ([]byte, error) {
	v, err := a.dump()
	if err != nil {
		return nil, errors.Annotate(err, "collect state dump")
	}
	return json.MarshalIndent(v, "", "  ")
}

// maxHeadBytes limits the head of a request to the admin server. With the default of
// net/http, 1 MiB, 96 connections with heads that don't end made a process use 500 MiB.
const maxHeadBytes = 16 << 10

// Serve listens on address and serves in the background until Close. It returns an error
// if it cannot listen.
func (a *Admin) Serve(address string) error {
	mux := http.NewServeMux()
	a.Register(mux)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen for administration on %s", address)
	}
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxHeadBytes}
	go func() { _ = a.server.Serve(l) }()
	return nil
}

// Close stops the server. It does nothing if Serve was not called.
func (a *Admin) Close() error {
	if a.server == nil {
		return nil
	}
	return a.server.Close()
}
