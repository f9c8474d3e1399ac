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
	// ModeOnce sends a number of equal requests.
	ModeOnce = "once"
	// ModeWorkload sends the requests of a workload at their arrival times.
	ModeWorkload = "workload"
	// ModePath measures the latency that the entry processes add.
	ModePath = "path"
	// ModeSingle sends one call of a plain service, optionally repeated.
	ModeSingle = "single"
)

// Settings holds the settings of the load tool.
type Settings struct {
	Mode string `json:"mode"`
	// Label is the name of the run in reports.
	Label string `json:"label,omitempty"`
	// Entries are the addresses of the entry processes.
	Entries []string `json:"entries"`
	// Keys are the API keys of the client accounts, in the order of the accounts
	// of the workload.
	Keys  []string `json:"keys,omitempty"`
	Model string   `json:"model"`
	Seed  uint64   `json:"seed,omitempty"`
	// TimeScale is the ratio of real time to simulated time.
	TimeScale float64 `json:"time_scale,omitempty"`
	// TimeoutSeconds is the timeout of the whole run, in real time.
	TimeoutSeconds  float64 `json:"timeout_seconds,omitempty"`
	NoStream        bool    `json:"no_stream,omitempty"`
	TextCompletions bool    `json:"text_completions,omitempty"`
	// Stats are the URLs of the counters of stand-in processes. The report has
	// the change of the counters during the run.
	Stats []string `json:"stats,omitempty"`
	// JSON and Plot are the paths of files to write. KeepResults adds the result of
	// each request to the JSON report.
	JSON        string `json:"json,omitempty"`
	Plot        string `json:"plot,omitempty"`
	KeepResults bool   `json:"keep_results,omitempty"`

	// Requests and the fields up to DeadlineMS are the settings of ModeOnce.
	Requests     int    `json:"requests,omitempty"`
	Concurrency  int    `json:"concurrency,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	Urgency      string `json:"urgency,omitempty"`
	DeadlineMS   int64  `json:"deadline_ms,omitempty"`

	// Workload and Actions are the settings of ModeWorkload.
	Workload *workload.Config `json:"workload,omitempty"`
	// Actions are HTTP calls at given times, such as fault injection at stand-ins.
	Actions []Action `json:"actions,omitempty"`

	// Path holds the settings of ModePath.
	Path *PathSettings `json:"path,omitempty"`

	// Single is the call of ModeSingle.
	Single *Single `json:"single,omitempty"`
}

// Action is an HTTP call to each of URLs during a workload, by default a POST.
type Action struct {
	Name string `json:"name"`
	// AtSeconds is the time from the start of the run, in simulated time.
	AtSeconds float64         `json:"at_seconds"`
	Method    string          `json:"method,omitempty"`
	URLs      []string        `json:"urls"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// run calls the URLs in order. It returns an error at the first one that fails or
// returns a status of 300 or above.
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

// LoadSettings reads and checks the settings file at path. It returns an error if the
// file cannot be read or is invalid.
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

// timeout returns the timeout of the whole run.
func (s *Settings) timeout() time.Duration {
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}
