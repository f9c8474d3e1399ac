// Command bilberry-state runs one replica of the replicated state until SIGTERM or
// SIGINT, or until the replica fails.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"go.uber.org/zap"

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
	server, err := stateserver.Start(cfg, stateserver.Options{}, log)
	if err != nil {
		return errors.Trace(err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case sig := <-stop:
		log.Info("stopping", zap.Stringer("signal", sig))
		return errors.Trace(server.Shutdown())
	case <-server.Failed():
		_ = server.Close()
		return errors.Trace(server.Err())
	}
}
