// Command bilberry-gateway serves the platform's clients by routes.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"bilberryhub/internal/control"
	"bilberryhub/internal/gateway"
	"bilberryhub/internal/observe"
	"bilberryhub/internal/settings"
	"bilberryhub/platform"
)

func main() { settings.Main("bilberry-gateway", run) }

func run(flags *settings.Flags) error {
	set, err := gateway.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger("bilberry-gateway", set.ID, set.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Sync() }()
	control.SetMemoryLimit(set.MemoryMB)
	// A signal that arrives during the start must lead to a planned stop as well.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	g := gateway.New(set, platform.Dialect{}, log)
	if err := g.Start(); err != nil {
		return errors.Annotate(err, "start")
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		fresh, err := gateway.LoadSettings(flags.Config)
		if err != nil {
			log.Error("settings not reloaded", zap.String("path", flags.Config), observe.Error(err))
			continue
		}
		g.Reload(fresh)
	}
	return errors.Trace(g.Stop())
}
