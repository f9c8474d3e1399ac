// Command bilberry-standin simulates model engines and plain services.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"bilberryhub/internal/observe"
	"bilberryhub/internal/standin"

	"github.com/juju/errors"
)

// version is set by the linker.
var version = "dev"

func main() {
	config := flag.String("config", "", "settings file (JSON)")
	check := flag.Bool("check", false, "validate the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("bilberry-standin", version)
		return
	}
	if err := run(*config, *check); err != nil {
		fmt.Fprintln(os.Stderr, "bilberry-standin:", err)
		os.Exit(1)
	}
}

func run(config string, check bool) error {
	s, err := standin.LoadSettings(config)
	if err != nil || check {
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
