// Package settings loads the settings file of a process.
//
// Each process reads one JSON file at start. The file is checked strictly
// against a JSON schema that the process embeds: unknown fields, missing
// fields and wrong types are errors that name the path in the document, so
// that a mistyped field never silently becomes a default.
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
)

// Load reads the file at path, checks it against schema and decodes it.
func Load(path string, schema []byte, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	return errors.Annotatef(Decode(data, schema, into), "settings %s", path)
}

// Decode checks data against schema and decodes it.
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

// describe returns one line for each fault, with its path in the document.
func describe(err error) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	var lines []string
	collect(invalid, &lines)
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "; ")
}

func collect(e *jsonschema.ValidationError, lines *[]string) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			collect(cause, lines)
		}
		return
	}
	detail := e.Error()
	if i := strings.LastIndex(detail, "': "); i >= 0 {
		detail = detail[i+3:]
	}
	*lines = append(*lines, fmt.Sprintf("at /%s: %s", strings.Join(e.InstanceLocation, "/"), strings.TrimSpace(detail)))
}

// Flags are the command line flags that every binary has.
type Flags struct {
	// Config is the path of the settings file.
	Config string
	// Check is set when the settings are to be checked only.
	Check bool
	// Version is set when only the version is to be printed.
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

// PrintVersion writes the name and build of a binary to w.
func PrintVersion(w io.Writer, name string) {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintf(w, "%s %s\n", name, version)
}

// TLS names the files of a mutually authenticated connection between the
// processes. All three are needed; without the section TLS is off.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Main parses the common flags and calls run, unless only the version is asked
// for. It ends the process with status 1 when run returns an error.
func Main(name string, run func(*Flags) error) {
	flags := Register(flag.CommandLine)
	flag.Parse()
	if flags.Version {
		PrintVersion(os.Stdout, name)
		return
	}
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}
