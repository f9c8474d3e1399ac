// Command bilberry-gateway serves the clients of the platform according to the
// configured routes. SIGHUP reads the settings again and adds the state processes
// in them; other changes take effect at the next start. SIGTERM and SIGINT stop it.
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
	cfg, err := gateway.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger("bilberry-gateway", cfg.ID, cfg.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Sync() }()
	control.SetMemoryLimit(cfg.MemoryMB)
	// Registered before the start, so that a signal during the start also leads to a
	// graceful stop.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	g := gateway.New(cfg, platform.Dialect{}, log)
	if err := g.Start(); err != nil {
		return errors.Annotate(err, "start")
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		reloaded, err := gateway.LoadSettings(flags.Config)
		if err != nil {
			log.Error("failed to reload settings; keeping the current ones", zap.String("path", flags.Config), observe.Error(err))
			continue
		}
		g.Reload(reloaded)
	}
	return errors.Trace(g.Stop())
}
