// Command bilberry-control runs one replica of the replicated state together with
// the control interface for the operators and the backend servers of the platform.
package main

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"bilberryhub/internal/control"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/settings"
	"bilberryhub/platform"
)

func main() { settings.Main("bilberry-control", run) }

func run(flags *settings.Flags) error {
	cfg, err := control.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger("bilberry-control", cfg.IP, cfg.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Sync() }()
	control.SetMemoryLimit(cfg.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// SIGHUP does not reload the settings: they take effect at the next start, except
	// those that are received from the other processes.
	signal.Ignore(syscall.SIGHUP)
	p, err := control.StartProcess(ctx, cfg, func(s *control.Service) http.Handler {
		return platform.NewControl(s, cfg.FailureDomains, platform.ControlBudget(cfg.HeldMB, cfg.MemoryMB), log)
	}, log)
	if errors.Is(err, context.Canceled) {
		log.Info("stopped before the start was complete", observe.Error(err))
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Run(ctx))
}
