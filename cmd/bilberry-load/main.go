// Command bilberry-load generates load on entry processes and measures the
// responses. If the settings select a mode of package bench, it runs that
// benchmark instead.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bilberryhub/internal/bench"
	"bilberryhub/internal/loadtool"
	"bilberryhub/internal/settings"

	"github.com/juju/errors"
)

func main() { settings.Main("bilberry-load", run) }

func run(flags *settings.Flags) error {
	if bench.IsMode(flags.Config) {
		s, err := bench.LoadSettings(flags.Config)
		if err != nil || flags.Check {
			return errors.Trace(err)
		}
		return errors.Trace(bench.Run(s, os.Stdout))
	}
	s, err := loadtool.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	_, err = loadtool.New(s).Run(ctx, os.Stdout)
	return errors.Trace(err)
}
