// Command bilberry-entry runs an entry process, which accepts requests from callers
// and dispatches them to backend servers. SIGTERM and SIGINT drain it. See
// docs/OPERATIONS.md.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/control"
	"bilberryhub/internal/entry"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/settings"
)

func main() { settings.Main("bilberry-entry", run) }

func run(flags *settings.Flags) error {
	cfg, err := entry.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return err
	}
	log, err := observe.NewLogger("entry", cfg.ID, cfg.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	control.SetMemoryLimit(cfg.MemoryMB)
	// Registered before the start, so that a signal during the start also leads to a
	// graceful stop.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	server, err := entry.New(cfg, entry.Options{}, log)
	if err != nil {
		return errors.Annotate(err, "set up")
	}
	if err := server.Start(); err != nil {
		return errors.Annotate(err, "start")
	}
	sig := <-stop
	log.Info("stopping", zap.Stringer("signal", sig))
	return server.Stop()
}
