// Package settings loads the settings file of a process.
//
// Each process reads one JSON file at start. The file is validated strictly against a
// JSON schema that is embedded in the process: unknown fields, missing fields and wrong
// types are errors that name the path in the document, so that a mistyped field never
// silently becomes a default. The package also provides the common command line flags
// and the TLS section of the settings. It does not watch the file for changes.
package settings

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.uber.org/zap"
)

// Load reads the JSON file at path, validates it against the JSON schema and decodes it
// into the value that into points to. Errors name the file.
func Load(path string, schema []byte, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	return errors.Annotatef(Decode(data, schema, into), "settings %s", path)
}

// Decode validates data against the JSON schema and decodes it into the value that into
// points to. The error for invalid data lists all faults, each with its path.
func Decode(data, schema []byte, into any) error {
	compiled, err := compile(schema)
	if err != nil {
		return errors.Trace(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return errors.Annotate(err, "parse JSON")
	}
	if err := compiled.Validate(doc); err != nil {
		return errors.New(describe(err))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return errors.Annotate(dec.Decode(into), "decode")
}

func compile(schema []byte) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, errors.Annotate(err, "parse schema")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("settings.json", doc); err != nil {
		return nil, errors.Annotate(err, "add schema")
	}
	compiled, err := c.Compile("settings.json")
	return compiled, errors.Annotate(err, "compile schema")
}

// describe returns the faults, each with its path in the document, sorted and separated
// by semicolons.
func describe(err error) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	var faults []string
	collectFaults(invalid, &faults)
	slices.Sort(faults)
	return strings.Join(slices.Compact(faults), "; ")
}

// collectFaults appends one text for each violation without causes of its own. The
// location that the library puts before the message is replaced by a JSON pointer.
func collectFaults(e *jsonschema.ValidationError, faults *[]string) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			collectFaults(cause, faults)
		}
		return
	}
	detail := e.Error()
	if i := strings.LastIndex(detail, "': "); i >= 0 {
		detail = detail[i+3:]
	}
	*faults = append(*faults, fmt.Sprintf("at /%s: %s", strings.Join(e.InstanceLocation, "/"), strings.TrimSpace(detail)))
}

// Flags holds the command line flags that all binaries have in common.
type Flags struct {
	// Config is the path of the settings file.
	Config string
	// Check is set if the process must only validate the settings and exit.
	Check bool
	// Version is set if the process must only print its version and exit.
	Version bool
}

// Register adds the common flags to set.
func Register(set *flag.FlagSet) *Flags {
	f := &Flags{}
	set.StringVar(&f.Config, "config", "", "settings `file` (JSON)")
	set.BoolVar(&f.Check, "check", false, "check the settings and exit")
	set.BoolVar(&f.Version, "version", false, "print the version and exit")
	return f
}

// PrintVersion writes the name of a binary, its module version and its Go version to w.
func PrintVersion(w io.Writer, name string) {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintf(w, "%s %s\n", name, version)
}

// TLS is the settings section that names the files for mutually authenticated
// connections between processes. All three files are required. TLS is disabled if the
// section is absent.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// failureStatus is the exit status of a process that failed.
const failureStatus = 1

// Main parses the common flags and calls run, or prints the version if that is
// requested. If run returns an error, it writes the error to standard error and to the
// global logger, and exits with status 1.
func Main(name string, run func(*Flags) error) {
	flags := Register(flag.CommandLine)
	flag.Parse()
	if flags.Version {
		PrintVersion(os.Stdout, name)
		return
	}
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		zap.L().Error("process ends", zap.String("reason", err.Error()), zap.Int("exit_status", failureStatus))
		_ = zap.L().Sync()
		os.Exit(failureStatus)
	}
}
