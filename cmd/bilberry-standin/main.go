// Command bilberry-standin simulates model engines and plain services.
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
	s, err := standin.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger("bilberry-standin", s.Instances[0].ID, s.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	p := standin.NewProcess(s, log)
	if err := p.Start(s.Admin); err != nil {
		return errors.Trace(err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	p.Stop()
	return nil
}
