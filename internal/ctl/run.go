// Package ctl implements bilberryctl, the command line of the operators.
//
// Operators make changes through manifests and orders only. A change is one command
// of the replicated log with a proposal id. It is proposed to the state processes in
// turn; the id ensures that it takes effect only once. The exit code indicates to the
// caller, often a build pipeline, whether to stop, to correct the input or to run the
// same command again.
//
// The package keeps no state of its own and doesn't start or stop processes.
package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"bilberryhub/internal/settings"
	"bilberryhub/internal/wire"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the input is invalid or was refused, that the
	// replica to wait for has not joined, or that the gateway to explain knows no such
	// route or account. Nothing was changed.
	ExitRefused = 1
	// ExitUsage means that the command line or the settings are invalid, or that a
	// file cannot be read.
	ExitUsage = 2
	// ExitUnreachable means that no state process could serve the command, that none
	// was fresh for the command status, or that the address to dump or the gateway to
	// explain could not be reached or could not answer. Nothing was changed.
	ExitUnreachable = 3
	// ExitUnknown means that the change may have taken effect or may still take
	// effect. The same command can be run again: a manifest that was accepted is
	// then reported as "already accepted".
	ExitUnknown = 4
)

const usage = `usage: bilberryctl -config FILE [flags] COMMAND

commands:
  check MANIFEST               check a manifest without any process
  diff MANIFEST                show what applying it would change
  apply MANIFEST               apply a manifest
  out failure-domain NAME      take a failure domain out of service
  out backend-server ID        take a backend server out of service
  in failure-domain NAME       take a failure domain into service again
  in backend-server ID         take a backend server into service again
  status                       show state processes, entry processes and orders
  dump ADDRESS                 print the state dump of an admin address
  explain -gateway ADDRESS -route NAME
                               show where a request would go now, and why, without
                               sending it; ADDRESS is the admin address of a
                               gateway; needs no -config
  notify ADDRESS               tell a state process or gateway that reaches no
                               state process to ask those of the settings;
                               ADDRESS is its address for other processes
  join NAME                    wait until a state replica is a voter; a replica
                               whose disk was lost joins by itself at its start

exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable, 4 outcome unknown

flags:
`

// options holds the flags other than the common ones.
type options struct {
	json   bool
	number uint64
	reason string
	wait   time.Duration
	// explained is what the command explain asks.
	explained explainQuery
}

// tool is the state of one invocation of the command line.
type tool struct {
	settings Settings
	opts     options
	out      io.Writer
	wire     wire.Options
	cluster  *cluster
}

// report is the result of a command, with text for operators and a JSON document for
// programs.
type report struct {
	exitCode int
	text     string
	doc      any
}

// exitError is an error with the exit code that it causes.
type exitError struct {
	exitCode int
	err      error
}

func (e *exitError) Error() string { return e.err.Error() }

// withExitCode returns err as an exitError with the given exit code.
func withExitCode(exitCode int, err error) error { return &exitError{exitCode, err} }

// Run runs one command line, without the program name in args, and returns the exit
// code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("bilberryctl", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	commonFlags := settings.Register(flags)
	var opts options
	flags.BoolVar(&opts.json, "json", false, "print JSON")
	flags.Uint64Var(&opts.number, "number", 0, "`number` of an order; 0 takes the next one")
	flags.StringVar(&opts.reason, "reason", "", "`reason` stored with an order")
	flags.DurationVar(&opts.wait, "wait", time.Minute, "`time` to wait for a replica to join")
	opts.explained.register(flags)
	positional, err := parseInterspersed(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	if commonFlags.Version {
		settings.PrintVersion(stdout, "bilberryctl")
		return ExitOK
	}
	t := &tool{opts: opts, out: stdout}
	r, err := t.runCommand(ctx, commonFlags, positional)
	if err != nil {
		return t.printError(err, stderr)
	}
	return t.printReport(r, stderr)
}

// parseInterspersed parses flags before, between and after the positional arguments,
// and returns the latter. Package flag alone stops at the first positional argument.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

// runCommand runs the command that the positional arguments name.
func (t *tool) runCommand(ctx context.Context, commonFlags *settings.Flags, positional []string) (*report, error) {
	// The commands check and explain need no settings.
	if len(positional) == 2 && positional[0] == "check" {
		return t.check(positional[1])
	}
	if len(positional) == 1 && positional[0] == "explain" {
		return t.explain(ctx)
	}
	if err := t.loadSettings(commonFlags.Config); err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	if commonFlags.Check {
		return &report{text: "settings are valid", doc: map[string]bool{"valid": true}}, nil
	}
	defer t.cluster.close()
	if len(positional) == 2 && positional[0] == "join" {
		return t.join(ctx, positional[1])
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.timeout())
	defer cancel()
	switch {
	case len(positional) == 2 && positional[0] == "apply":
		return t.apply(ctx, positional[1])
	case len(positional) == 2 && positional[0] == "diff":
		return t.diff(ctx, positional[1])
	case len(positional) == 3 && (positional[0] == "in" || positional[0] == "out"):
		return t.order(ctx, positional[0] == "out", positional[1], positional[2])
	case len(positional) == 1 && positional[0] == "status":
		return t.status(ctx)
	case len(positional) == 2 && positional[0] == "notify":
		return t.notify(ctx, positional[1])
	case len(positional) == 2 && positional[0] == "dump":
		return t.dump(ctx, positional[1])
	}
	return nil, withExitCode(ExitUsage, errors.Errorf("unknown command %q; see -help", positional))
}

// loadSettings loads the settings and creates the clients of the state processes.
func (t *tool) loadSettings(path string) error {
	if err := settings.Load(path, settingsSchema, &t.settings); err != nil {
		return errors.Trace(err)
	}
	tlsConfig, err := t.settings.TLS.Config()
	if err != nil {
		return errors.Trace(err)
	}
	t.wire = wire.Options{
		Self: wire.Identity{Kind: wire.KindCtl, ID: "ctl-" + uuid.NewString()}, TLS: tlsConfig,
	}
	t.cluster = newCluster(t.settings.States, t.wire)
	return nil
}

// printReport prints a report as text or JSON and returns its exit code.
func (t *tool) printReport(r *report, stderr io.Writer) int {
	if !t.opts.json {
		fmt.Fprintln(t.out, r.text)
		return r.exitCode
	}
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r.doc); err != nil {
		fmt.Fprintln(stderr, "bilberryctl: encode result:", err)
	}
	return r.exitCode
}

// printError prints an error as text or JSON and returns its exit code, which is
// ExitUsage for an error without one.
func (t *tool) printError(err error, stderr io.Writer) int {
	exitCode := ExitUsage
	var coded *exitError
	if errors.As(err, &coded) {
		exitCode = coded.exitCode
	}
	if t.opts.json {
		return t.printReport(&report{exitCode: exitCode, doc: map[string]any{"error": err.Error(), "exit": exitCode}}, stderr)
	}
	fmt.Fprintln(stderr, "bilberryctl:", err)
	return exitCode
}

// reason returns the reason to store with an order: by default the name of the user
// who runs the command.
func (t *tool) reason() string {
	if t.opts.reason != "" {
		return t.opts.reason
	}
	if u, err := user.Current(); err == nil {
		return "by " + u.Username
	}
	return ""
}
