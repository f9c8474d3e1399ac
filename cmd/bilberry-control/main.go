// Command bilberry-control runs one replica of the replicated state with the
// interface of the platform's operators and backend servers.
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
	set, err := control.LoadSettings(flags.Config)
	if err != nil || flags.Check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger("bilberry-control", set.IP, set.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = log.Sync() }()
	control.SetMemoryLimit(set.MemoryMB)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The settings count from the next start, except those that are learnt from
	// the other processes.
	signal.Ignore(syscall.SIGHUP)
	p, err := control.StartProcess(set, func(s *control.Service) http.Handler {
		return platform.NewControl(s, set.FailureDomains, log)
	}, log)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.Run(ctx))
}
