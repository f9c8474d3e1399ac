// Command bilberryctl applies manifests and orders and shows the state of a
// system. Its exit code is 0 for success, 1 when the input is refused, 2 for a
// wrong command line, 3 when no state process can act and 4 when the outcome
// is unknown.
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
