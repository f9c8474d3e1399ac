package bench

import (
	_ "embed"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"time"

	"bilberryhub/internal/settings"

	"github.com/juju/errors"
)

//go:embed settings.schema.json
var schema []byte

// Modes of the settings that this package runs.
const (
	ModeCompare    = "compare"
	ModeAllocation = "allocation"
)

// Settings holds the settings of the modes of this package.
type Settings struct {
	Mode string `json:"mode"`
	CompareSettings
	// Seeds is the number of seeds of the allocation experiment, and Hours the
	// simulated duration of each of its runs.
	Seeds int     `json:"seeds,omitempty"`
	Hours float64 `json:"hours,omitempty"`
}

// IsMode reports whether the settings at path have a mode of this package. It
// returns false for settings that cannot be read or decoded.
func IsMode(path string) bool {
	b, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	var s struct {
		Mode string `json:"mode"`
	}
	// A decoding error is ignored here: the loader that reads the file next
	// reports it.
	_ = json.Unmarshal(b, &s)
	return s.Mode == ModeCompare || s.Mode == ModeAllocation
}

// LoadSettings reads the settings file at path over the defaults. It returns an
// error if the file cannot be read or is invalid.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{Seeds: 5, Hours: 4}
	return s, errors.Trace(settings.Load(path, schema, s))
}

// reporter is a report that can be printed.
type reporter interface{ Write(io.Writer) }

// Run runs the mode of the settings and prints its tables to w. It writes the report
// to MODE.json in the directory of the settings, next to the plots of the
// comparison.
func Run(s *Settings, w io.Writer) error {
	var rep reporter
	switch s.Mode {
	case ModeAllocation:
		cfg := DefaultAlloc()
		cfg.Duration = time.Duration(s.Hours * float64(time.Hour))
		r, err := CompareAllocators(cfg, s.Seeds)
		if err != nil {
			return errors.Trace(err)
		}
		rep = r
	default:
		c, err := Compare(&s.CompareSettings)
		if err != nil {
			return errors.Trace(err)
		}
		if err := c.Plot(s.Dir); err != nil {
			return errors.Trace(err)
		}
		rep = c
	}
	rep.Write(w)
	doc, err := json.MarshalIndent(rep, "", " ")
	if err != nil {
		return errors.Annotate(err, "encode report")
	}
	return errors.Annotate(os.WriteFile(filepath.Join(s.Dir, s.Mode+".json"), doc, 0o644), "write report")
}
