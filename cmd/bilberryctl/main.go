// Command bilberryctl applies manifests and orders and shows the state of a
// system. It exits with 0 on success, 1 if the input is rejected, 2 for an
// invalid command line, 3 if no state process can execute the command and 4 if the
// outcome is unknown.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bilberryhub/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
