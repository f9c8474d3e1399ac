// Command bilberry-state runs one replica of the replicated state until SIGTERM or
// SIGINT, or until the replica fails.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/settings"
	"bilberryhub/internal/stateserver"
)

func main() { settings.Main("bilberry-state", run) }

func run(flags *settings.Flags) error {
	cfg, err := stateserver.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger("bilberry-state", cfg.ID, cfg.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server, err := stateserver.StartWithSpace(ctx, cfg, stateserver.Options{}, log)
	if errors.Is(err, context.Canceled) {
		log.Info("stopped before the start was complete", observe.Error(err))
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case <-ctx.Done():
		log.Info("stopping")
		return errors.Trace(server.Shutdown())
	case <-server.Failed():
		_ = server.Close()
		return errors.Trace(server.Err())
	}
}
