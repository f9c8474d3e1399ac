// Command bilberry-standin runs simulated backend servers, model engines and plain
// services, until SIGTERM or SIGINT. See package standin.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/settings"
	"bilberryhub/internal/standin"

	"github.com/juju/errors"
)

func main() { settings.Main("bilberry-standin", run) }

func run(flags *settings.Flags) error {
	cfg, err := standin.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger("bilberry-standin", cfg.Instances[0].ID, cfg.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	p := standin.NewProcess(cfg, log)
	if err := p.Start(cfg.Admin); err != nil {
		return errors.Trace(err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	p.Stop()
	return nil
}
