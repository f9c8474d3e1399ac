// Package ctl is the operators' command line.
//
// Operators act through manifests and orders only. A change is one command of
// the replicated log with a proposal id, offered to the state processes in
// turn, so that it takes effect once. The exit code tells the caller, often a
// build pipeline, whether to stop, to correct the input or to run the same
// command again.
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

// The exit codes.
const (
	ExitOK = 0
	// ExitRefused says that the input is invalid or was refused; nothing has
	// changed.
	ExitRefused = 1
	// ExitUsage says that the command line or the settings are wrong.
	ExitUsage = 2
	// ExitUnreachable says that no state process could act; nothing has changed.
	ExitUnreachable = 3
	// ExitUnknown says that the change may have been made, or may still be. The
	// same command can be run again: an accepted manifest is answered "already
	// accepted".
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
  join NAME                    wait until a state replica is a voter; a replica
                               whose disk was lost joins by itself at its start

exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable, 4 outcome unknown

flags:
`

// options are the flags besides the common ones.
type options struct {
	json   bool
	number uint64
	reason string
	wait   time.Duration
}

// tool is one run of the command line.
type tool struct {
	settings Settings
	opts     options
	out      io.Writer
	wire     wire.Options
	cluster  *cluster
}

// report is the result of a command: text for operators, and a document for
// programs.
type report struct {
	exit int
	text string
	doc  any
}

// failure is an error with its exit code.
type failure struct {
	exit int
	err  error
}

func (f *failure) Error() string { return f.err.Error() }

func failed(exit int, err error) error { return &failure{exit, err} }

// Run carries out one command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	set := flag.NewFlagSet("bilberryctl", flag.ContinueOnError)
	set.SetOutput(stderr)
	set.Usage = func() {
		fmt.Fprint(stderr, usage)
		set.PrintDefaults()
	}
	common := settings.Register(set)
	var opts options
	set.BoolVar(&opts.json, "json", false, "print JSON")
	set.Uint64Var(&opts.number, "number", 0, "`number` of an order; 0 takes the next one")
	set.StringVar(&opts.reason, "reason", "", "`reason` stored with an order")
	set.DurationVar(&opts.wait, "wait", time.Minute, "`time` to wait for a replica to join")
	words, err := parseInterspersed(set, args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	if common.Version {
		settings.PrintVersion(stdout, "bilberryctl")
		return ExitOK
	}
	t := &tool{opts: opts, out: stdout}
	r, err := t.command(ctx, common, words)
	if err != nil {
		return t.fail(err, stderr)
	}
	return t.print(r, stderr)
}

// parseInterspersed parses flags before, between and after the words.
func parseInterspersed(set *flag.FlagSet, args []string) ([]string, error) {
	var words []string
	for {
		if err := set.Parse(args); err != nil {
			return nil, err
		}
		if set.NArg() == 0 {
			return words, nil
		}
		words = append(words, set.Arg(0))
		args = set.Args()[1:]
	}
}

func (t *tool) command(ctx context.Context, common *settings.Flags, words []string) (*report, error) {
	// Checking a manifest needs no settings.
	if len(words) == 2 && words[0] == "check" {
		return t.check(words[1])
	}
	if err := t.load(common.Config); err != nil {
		return nil, failed(ExitUsage, err)
	}
	if common.Check {
		return &report{text: "settings are valid", doc: map[string]bool{"valid": true}}, nil
	}
	defer t.cluster.close()
	if len(words) == 2 && words[0] == "join" {
		return t.join(ctx, words[1])
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.timeout())
	defer cancel()
	switch {
	case len(words) == 2 && words[0] == "apply":
		return t.apply(ctx, words[1])
	case len(words) == 2 && words[0] == "diff":
		return t.diff(ctx, words[1])
	case len(words) == 3 && (words[0] == "in" || words[0] == "out"):
		return t.order(ctx, words[0] == "out", words[1], words[2])
	case len(words) == 1 && words[0] == "status":
		return t.status(ctx)
	case len(words) == 2 && words[0] == "dump":
		return t.dump(ctx, words[1])
	}
	return nil, failed(ExitUsage, errors.Errorf("unknown command %q; see -help", words))
}

func (t *tool) load(path string) error {
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

func (t *tool) print(r *report, stderr io.Writer) int {
	if !t.opts.json {
		fmt.Fprintln(t.out, r.text)
		return r.exit
	}
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r.doc); err != nil {
		fmt.Fprintln(stderr, "bilberryctl: encode result:", err)
	}
	return r.exit
}

func (t *tool) fail(err error, stderr io.Writer) int {
	exit := ExitUsage
	var f *failure
	if errors.As(err, &f) {
		exit = f.exit
	}
	if t.opts.json {
		return t.print(&report{exit: exit, doc: map[string]any{"error": err.Error(), "exit": exit}}, stderr)
	}
	fmt.Fprintln(stderr, "bilberryctl:", err)
	return exit
}

// reason returns the reason of an order, by default who gave it.
func (t *tool) reason() string {
	if t.opts.reason != "" {
		return t.opts.reason
	}
	if u, err := user.Current(); err == nil {
		return "by " + u.Username
	}
	return ""
}
