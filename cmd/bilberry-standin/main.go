// Command bilberry-standin simulates model engines and plain services.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/settings"
	"bilberryhub/internal/standin"

	"github.com/juju/errors"
)

const name = "bilberry-standin"

func main() {
	flags := settings.Register(flag.CommandLine)
	flag.Parse()
	if flags.Version {
		settings.PrintVersion(os.Stdout, name)
		return
	}
	if err := run(flags.Config, flags.Check); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}

func run(config string, check bool) error {
	s, err := standin.LoadSettings(config)
	if err != nil || check {
		return errors.Trace(err)
	}
	log, err := observe.NewLogger(name, s.Instances[0].ID, s.LogLevel)
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
