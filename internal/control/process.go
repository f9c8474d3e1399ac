package control

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/stateserver"
	"bilberryhub/internal/wire"
)

const (
	// proposeTimeout bounds a change. Operators ask another process after a
	// second, and recognise the change when it is sent again.
	proposeTimeout = 2500 * time.Millisecond
	// headerTimeout and idleTimeout bound the connections of operators.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// stopTimeout bounds the end of open calls at a planned stop.
	stopTimeout = time.Second
	// memoryShare is the share of the memory limit from which the runtime collects
	// garbage harder.
	memoryShare = 0.7
)

// SetMemoryLimit tells the runtime about the bound of the VM; 0 means none.
func SetMemoryLimit(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20)))
	}
}

// Process is a running control process.
type Process struct {
	settings Settings
	log      *zap.Logger
	service  *Service
	server   *http.Server
	state    *stateserver.Server
}

// StartProcess starts the state replica and the operators' interface, whose
// handler is made by newHandler.
func StartProcess(s Settings, newHandler func(*Service) http.Handler, log *zap.Logger) (*Process, error) {
	p := &Process{settings: s, log: log, service: New(log)}
	if err := p.startState(); err != nil {
		return nil, errors.Trace(err)
	}
	quiet, err := zap.NewStdLogAt(log, zap.DebugLevel)
	if err != nil {
		return nil, errors.Annotate(err, "make logger of the HTTP server")
	}
	p.server = &http.Server{
		Handler: newHandler(p.service), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quiet,
	}
	l, err := wire.ListenConfig().Listen(context.Background(), "tcp", s.OperatorListen)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for operators on %s", s.OperatorListen)
	}
	go func() {
		if err := p.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operators' interface ended", observe.Error(err))
		}
	}()
	log.Info("control process started", zap.String("operators", s.OperatorListen), zap.Strings("seeds", s.Seeds),
		zap.Bool("bootstrap", s.Bootstrap))
	return p, nil
}

func (p *Process) startState() error {
	set, err := p.settings.State()
	if err != nil {
		return errors.Trace(err)
	}
	p.state, err = stateserver.Start(set, stateserver.Options{
		Now: bootclock.Now, Handle: p.service.Handle, ProposeTimeout: proposeTimeout,
	}, p.log)
	if err != nil {
		return errors.Annotate(err, "start state replica")
	}
	p.service.SetState(p.state)
	return nil
}

// Run serves until ctx ends, and then stops as planned. A replica whose place
// another disk has taken starts again with an empty folder: what it holds
// counts no more, and the others have all that was accepted.
func (p *Process) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return p.stop()
		case <-p.state.Failed():
		}
		err := p.state.Err()
		var retired *stateserver.RetiredError
		if !errors.As(err, &retired) {
			_ = p.state.Close()
			return errors.Trace(err)
		}
		p.log.Warn("identity retired; joining anew", zap.String("replica", retired.ID))
		_ = p.state.Close()
		if err := emptyFolder(p.settings.DataDir); err != nil {
			return errors.Trace(err)
		}
		p.settings.Bootstrap = false
		if err := p.startState(); err != nil {
			return errors.Trace(err)
		}
	}
}

func (p *Process) stop() error {
	p.log.Info("stopping")
	err := p.state.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if serr := p.server.Shutdown(ctx); serr != nil {
		p.log.Info("open calls were cut", observe.Error(serr))
	}
	p.log.Info("stopped", observe.Error(err))
	return errors.Trace(err)
}

// emptyFolder removes the files of a folder.
func emptyFolder(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Annotatef(err, "list %s", dir)
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return errors.Annotatef(err, "remove %s", e.Name())
		}
	}
	return nil
}
