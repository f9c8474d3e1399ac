package loadtool

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"bilberryhub/internal/settings"
	"bilberryhub/internal/workload"

	"github.com/juju/errors"
)

//go:embed settings.schema.json
var schema []byte

// Modes of the load tool.
const (
	ModeOnce     = "once"
	ModeWorkload = "workload"
	ModePath     = "path"
	ModeSingle   = "single"
)

// Settings of the load tool.
type Settings struct {
	Mode string `json:"mode"`
	// Label names the run in reports.
	Label   string   `json:"label,omitempty"`
	Entries []string `json:"entries"`
	// Keys are the keys of the client accounts, in the order of the accounts
	// of the workload.
	Keys      []string `json:"keys,omitempty"`
	Model     string   `json:"model"`
	Seed      uint64   `json:"seed,omitempty"`
	TimeScale float64  `json:"time_scale,omitempty"`
	// TimeoutSeconds bounds the whole run.
	TimeoutSeconds  float64 `json:"timeout_seconds,omitempty"`
	NoStream        bool    `json:"no_stream,omitempty"`
	TextCompletions bool    `json:"text_completions,omitempty"`
	// Stats are the URLs of the counters of stand-in processes; the report has
	// their change during the run.
	Stats []string `json:"stats,omitempty"`
	// JSON and Plot are files to write; KeepResults adds every single result.
	JSON        string `json:"json,omitempty"`
	Plot        string `json:"plot,omitempty"`
	KeepResults bool   `json:"keep_results,omitempty"`

	// Mode once.
	Requests     int    `json:"requests,omitempty"`
	Concurrency  int    `json:"concurrency,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	Urgency      string `json:"urgency,omitempty"`
	DeadlineMS   int64  `json:"deadline_ms,omitempty"`

	// Mode workload.
	Workload *workload.Config `json:"workload,omitempty"`
	// Actions are HTTP calls at given times, such as faults of stand-ins.
	Actions []Action `json:"actions,omitempty"`

	// Mode path.
	Path *PathSettings `json:"path,omitempty"`

	// Mode single.
	Single *Single `json:"single,omitempty"`
}

// Action is an HTTP call during a workload.
type Action struct {
	Name string `json:"name"`
	// AtSeconds is in simulated time.
	AtSeconds float64         `json:"at_seconds"`
	Method    string          `json:"method,omitempty"`
	URLs      []string        `json:"urls"`
	Body      json.RawMessage `json:"body,omitempty"`
}

func (a *Action) run(ctx context.Context) error {
	method := a.Method
	if method == "" {
		method = http.MethodPost
	}
	for _, url := range a.URLs {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(a.Body))
		if err != nil {
			return errors.Annotatef(err, "action %s", a.Name)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Annotatef(err, "action %s", a.Name)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode >= http.StatusMultipleChoices {
			return errors.Errorf("action %s: %s answers %d", a.Name, url, resp.StatusCode)
		}
	}
	return nil
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	s, err := ParseSettings(b)
	return s, errors.Annotatef(err, "settings %s", path)
}

// ParseSettings decodes settings over the defaults and checks them.
func ParseSettings(b []byte) (*Settings, error) {
	w := workload.Default()
	p := DefaultPath()
	s := &Settings{
		Seed: 1, TimeScale: 1, TimeoutSeconds: 600, Requests: 1, Concurrency: 1,
		PromptTokens: 1000, MaxTokens: 32, Workload: &w, Path: &p,
	}
	if err := settings.Decode(b, schema, s); err != nil {
		return nil, errors.Trace(err)
	}
	if s.Mode == ModePath && len(s.Path.Direct) == 0 {
		return nil, errors.New("path.direct is empty")
	}
	return s, errors.Trace(s.Workload.Check())
}

func (s *Settings) timeout() time.Duration {
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}
