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

// Modes of this package.
const (
	ModeCompare    = "compare"
	ModeAllocation = "allocation"
)

// Settings of the modes of this package.
type Settings struct {
	Mode string `json:"mode"`
	CompareSettings
	// Seeds and Hours are the size of the allocation experiment.
	Seeds int     `json:"seeds,omitempty"`
	Hours float64 `json:"hours,omitempty"`
}

// IsMode tells whether the settings at path are for this package.
func IsMode(path string) bool {
	b, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	var s struct {
		Mode string `json:"mode"`
	}
	// Invalid settings are reported by the loader that reads them next.
	_ = json.Unmarshal(b, &s)
	return s.Mode == ModeCompare || s.Mode == ModeAllocation
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{Seeds: 5, Hours: 4}
	return s, errors.Trace(settings.Load(path, schema, s))
}

type reporter interface{ Write(io.Writer) }

// Run runs the mode, prints its tables to w and writes its files.
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
