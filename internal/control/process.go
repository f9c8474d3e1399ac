package control

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/bootclock"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/stateserver"
	"bilberryhub/internal/wal"
	"bilberryhub/internal/wire"
)

const (
	// proposeTimeout limits a proposed change. Operators retry at another process
	// after one second; a change that is sent again is recognized.
	proposeTimeout = 2500 * time.Millisecond
	// headerTimeout and idleTimeout apply to the connections of operators.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeadBytes limits the head of a call. With the default of net/http, 1 MiB, 48
	// connections with endless header fields made a process use 211 MiB.
	maxHeadBytes = 16 << 10
	// stopTimeout limits how long a planned stop waits for open requests.
	stopTimeout = time.Second
	// memoryLimitFraction is the fraction of the configured memory that is set as the
	// soft memory limit of the runtime, near which it collects garbage more often.
	memoryLimitFraction = 0.7
)

// SetMemoryLimit sets the soft memory limit of the Go runtime from the memory of the
// VM in MiB; 0 means no limit.
func SetMemoryLimit(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytes<<20)))
	}
}

// Process is a running control process.
type Process struct {
	settings Settings
	log      *zap.Logger
	service  *Service
	server   *http.Server
	state    *stateserver.Server
	// members are the addresses of the replicas that remained when the identity of this one
	// was retired.
	members []string
	// stopped ends when the process has stopped.
	stopped    context.Context
	setStopped context.CancelFunc
}

// StartProcess starts the state replica and the HTTP server for operators, whose
// handler newHandler returns. It ends early, with an error, only if ctx ends.
func StartProcess(ctx context.Context, s Settings, newHandler func(*Service) http.Handler, log *zap.Logger) (*Process, error) {
	p := &Process{settings: s, log: log, service: New(log)}
	p.stopped, p.setStopped = context.WithCancel(context.Background())
	if err := p.startState(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	errorLog, err := zap.NewStdLogAt(log, zap.DebugLevel)
	if err != nil {
		return nil, errors.Annotate(err, "make logger of the HTTP server")
	}
	p.server = &http.Server{
		Handler: newHandler(p.service), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeadBytes, ErrorLog: errorLog, ConnContext: WithCallerConn,
	}
	l, err := wire.ListenConfig().Listen(context.Background(), "tcp", s.OperatorListen)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for operators on %s", s.OperatorListen)
	}
	go p.service.stalls.run(p.stopped)
	go func() {
		if err := p.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("HTTP server for operators failed", observe.Error(err))
		}
	}()
	log.Info("control process started", zap.String("operators", s.OperatorListen), zap.Strings("seeds", s.Seeds),
		zap.Bool("bootstrap", s.Bootstrap))
	return p, nil
}

// startState starts the state replica and connects the service to it.
func (p *Process) startState(ctx context.Context) error {
	set, err := p.settings.State()
	if err != nil {
		return errors.Trace(err)
	}
	set.JoinAddresses = p.members
	p.state, err = stateserver.StartWithSpace(ctx, set, stateserver.Options{
		Now: bootclock.Now, Handle: p.service.Handle, ProposeTimeout: proposeTimeout, Missing: p.service.MissingGateways,
	}, p.log)
	if err != nil {
		return errors.Annotate(err, "start state replica")
	}
	p.service.SetState(p.state)
	return nil
}

// Run serves until ctx ends and then performs a planned stop. It returns an error if
// the state replica fails.
//
// A replica whose identity was retired, because a replica with another disk has taken
// its place, empties its data directory and joins again: its data is no longer valid,
// and the other replicas have everything that was accepted. Besides the seeds it asks the
// replicas that remained, as the seeds may have been replaced while it was away.
func (p *Process) Run(ctx context.Context) error {
	defer p.setStopped()
	peers, stopPeers := context.WithCancel(ctx)
	defer stopPeers()
	go p.service.followPeers(peers, p.settings.peerAddress(), p.settings.wireOptions())
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
		p.members = retired.Members
		p.log.Warn("replica identity was retired; joining again with an empty data directory", zap.String("replica", retired.ID),
			zap.Strings("members", p.members))
		_ = p.state.Close()
		if err := wal.Erase(p.settings.DataDir, nil); err != nil {
			return errors.Trace(err)
		}
		p.settings.Bootstrap = false
		if err := p.startState(ctx); err != nil {
			return errors.Trace(err)
		}
	}
}

// stop stops the state replica and waits up to stopTimeout for open requests of
// operators.
func (p *Process) stop() error {
	p.log.Info("stopping")
	err := p.state.Shutdown()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if shutdownErr := p.server.Shutdown(ctx); shutdownErr != nil {
		p.log.Info("open requests were aborted", observe.Error(shutdownErr))
	}
	p.log.Info("stopped", observe.Error(err))
	return errors.Trace(err)
}
