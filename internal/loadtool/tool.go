package loadtool

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/juju/errors"
)

// Tool is one run of the load tool.
type Tool struct {
	settings *Settings
	client   *Client
}

// New returns a tool with the given settings. In all modes but ModePath it records the
// times between tokens.
func New(s *Settings) *Tool {
	c := NewClient(NewBalancer(s.Entries, s.Seed))
	c.RecordGaps = s.Mode != ModePath
	return &Tool{settings: s, client: c}
}

// Run runs the mode of the settings, prints a table to w and writes the files that the
// settings name. If the run is complete but not valid, as with ErrSentLate, it returns
// both the report and an error.
func (t *Tool) Run(ctx context.Context, w io.Writer) (*Report, error) {
	defer t.client.Close()
	ctx, cancel := context.WithTimeout(ctx, t.settings.timeout())
	defer cancel()
	modes := map[string]func(context.Context) (*Report, error){
		ModeOnce: t.runOnce, ModeWorkload: t.runWorkload, ModePath: t.runPath, ModeSingle: t.runSingle,
	}
	before, err := t.readCounters(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rep, err := modes[t.settings.Mode](ctx)
	if rep == nil {
		return nil, errors.Annotatef(err, "mode %s", t.settings.Mode)
	}
	if before != nil {
		after, err := t.readCounters(ctx)
		if err != nil {
			return nil, errors.Trace(err)
		}
		rep.Engines = after.since(before)
	}
	rep.Mode, rep.Label, rep.TimeScale = t.settings.Mode, t.settings.Label, t.settings.TimeScale
	rep.Write(w)
	if werr := t.writeFiles(rep); werr != nil {
		return rep, errors.Trace(werr)
	}
	return rep, errors.Annotatef(err, "mode %s", t.settings.Mode)
}

// writeFiles writes the plot and the JSON report, if the settings name them.
func (t *Tool) writeFiles(rep *Report) error {
	if t.settings.Plot != "" {
		if err := Plot(rep, t.settings.Plot); err != nil {
			return errors.Trace(err)
		}
	}
	if t.settings.JSON == "" {
		return nil
	}
	out := *rep
	if !t.settings.KeepResults {
		out.Results = nil
	}
	doc, err := json.MarshalIndent(&out, "", " ")
	if err != nil {
		return errors.Annotate(err, "encode report")
	}
	return errors.Annotate(os.WriteFile(t.settings.JSON, doc, 0o644), "write report")
}

// marshalCall returns the body of a call in JSON.
func marshalCall(c *Call) ([]byte, error) {
	doc, err := json.Marshal(c.body())
	return doc, errors.Annotate(err, "encode request")
}
