// Command bilberry-entry is the entry process: it takes requests from callers
// and has them run by backend servers. See docs/OPERATIONS.md.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/entry"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/settings"
)

func main() { settings.Main("bilberry-entry", run) }

func run(flags *settings.Flags) error {
	s, err := entry.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return err
	}
	log, err := observe.NewLogger("entry", s.ID, s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	// A signal that arrives during the start must lead to a planned stop as well.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	server, err := entry.New(s, entry.Options{}, log)
	if err != nil {
		return errors.Annotate(err, "set up")
	}
	if err := server.Start(); err != nil {
		return errors.Annotate(err, "start")
	}
	sig := <-stop
	log.Info("stopping", zap.Stringer("signal", sig))
	err = server.Drain()
	server.Close()
	return err
}
