package standin

import (
	_ "embed"
	"encoding/json"
	"os"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/settings"

	"github.com/juju/errors"
)

//go:embed settings.schema.json
var schema []byte

// Settings configures one process.
type Settings struct {
	// TimeScale multiplies all durations of the model: with 0.1 it runs ten times
	// faster than the simulated engine.
	TimeScale float64 `json:"time_scale,omitempty"`
	// Seed is the random seed of the losses of load reports; instances add their
	// position.
	Seed     uint64 `json:"seed,omitempty"`
	LogLevel string `json:"log_level,omitempty"`
	// Entries are the addresses of the entry processes to announce to; instances
	// without entries of their own use them.
	Entries []string `json:"entries,omitempty"`
	// Admin is the listen address of the administration of all instances, also of
	// those that are down. Empty means none.
	Admin string `json:"admin,omitempty"`
	// Model has the defaults of all engines.
	Model     *ModelSettings     `json:"model,omitempty"`
	Instances []InstanceSettings `json:"instances"`
}

// InstanceSettings configures one simulated backend server.
type InstanceSettings struct {
	ID     string        `json:"id"`
	Kind   announce.Kind `json:"kind"`
	Listen string        `json:"listen"`
	// Address, if set, is announced instead of the listen address.
	Address       string   `json:"address,omitempty"`
	FailureDomain string   `json:"failure_domain"`
	Service       string   `json:"service"`
	Models        []string `json:"models,omitempty"`
	PathPrefix    string   `json:"path_prefix,omitempty"`
	// FirstBoot is the first boot number. The default is the Unix time in ms, so
	// that boot numbers grow with each start of the process.
	FirstBoot         uint64         `json:"first_boot,omitempty"`
	ColdLimitRequests uint32         `json:"cold_limit_requests,omitempty"`
	ChecksFencing     bool           `json:"checks_fencing,omitempty"`
	Entries           []string       `json:"entries,omitempty"`
	Model             *ModelSettings `json:"model,omitempty"`
	Faults            Faults         `json:"faults,omitempty"`
	// PlainMS is the duration of one call of a plain service, in ms of simulated
	// time.
	PlainMS float64 `json:"plain_ms,omitempty"`
}

// ModelSettings are the constants of the engine model, in simulated time unless
// stated otherwise. Fields missing in the settings file take the defaults of
// DefaultModel.
type ModelSettings struct {
	PrefillTokensPerSecond  float64 `json:"prefill_tokens_per_second,omitempty"`
	TransferTokensPerSecond float64 `json:"transfer_tokens_per_second,omitempty"`
	ChunkTokens             int     `json:"chunk_tokens,omitempty"`
	DecodeStepMS            float64 `json:"decode_step_ms,omitempty"`
	DecodePerSequenceMS     float64 `json:"decode_per_sequence_ms,omitempty"`
	// DecodeStride is the number of steps between two tokens of a request. With
	// short steps and a stride above 1 new requests start almost immediately,
	// which keeps variation caused by the engine out of latency measurements of
	// the serving layer.
	DecodeStride int `json:"decode_stride,omitempty"`
	MemoryTokens int `json:"memory_tokens,omitempty"`
	MaxBatch     int `json:"max_batch,omitempty"`
	// ColdRequests and ColdSeconds limit the cold state after a boot; whichever is
	// reached first ends it. With zero for both the engine boots warm.
	ColdRequests      int     `json:"cold_requests,omitempty"`
	ColdSeconds       float64 `json:"cold_seconds,omitempty"`
	ColdPrefillFactor float64 `json:"cold_prefill_factor,omitempty"`
	// StartsWarm makes the first boot warm.
	StartsWarm     bool    `json:"starts_warm,omitempty"`
	RestartSeconds float64 `json:"restart_seconds,omitempty"`
	// LoadSeconds is the duration of an ordered model load.
	LoadSeconds float64 `json:"load_seconds,omitempty"`
	// ExportSeconds is the lifetime of an export that is not imported or renewed,
	// in real time.
	ExportSeconds float64 `json:"export_seconds,omitempty"`
	// ResumeSeconds is the period in which an interrupted or finished stream can
	// be resumed, in real time.
	ResumeSeconds float64 `json:"resume_seconds,omitempty"`
	// AllowPromptTokensHeader lets the header X-Prompt-Tokens override the prompt
	// length in tokens.
	AllowPromptTokensHeader bool `json:"allow_prompt_tokens_header,omitempty"`
	// ReportDelayMS is the minimum age of an announced load report, in real time.
	ReportDelayMS float64 `json:"report_delay_ms,omitempty"`
	// ReportDrop and EventDrop are the probabilities of losing a load report
	// and a cache event.
	ReportDrop float64 `json:"report_drop,omitempty"`
	EventDrop  float64 `json:"event_drop,omitempty"`
}

// DefaultModel returns the default settings, which the package comment describes.
func DefaultModel() ModelSettings {
	return ModelSettings{
		PrefillTokensPerSecond:  20_000,
		TransferTokensPerSecond: 400_000,
		ChunkTokens:             2048,
		DecodeStepMS:            20,
		DecodePerSequenceMS:     0.05,
		DecodeStride:            1,
		MemoryTokens:            400_000,
		MaxBatch:                64,
		ColdPrefillFactor:       0.1,
		RestartSeconds:          5,
		ExportSeconds:           10,
		ResumeSeconds:           5,
	}
}

func (m *ModelSettings) decodeStep() time.Duration { return millis(m.DecodeStepMS) }

func (m *ModelSettings) decodePerSequence() time.Duration { return millis(m.DecodePerSequenceMS) }

// millis converts v ms to a duration.
func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// seconds converts v seconds to a duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// LoadSettings reads and validates a settings file. Errors name the path.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	s, err := ParseSettings(b)
	return s, errors.Annotatef(err, "settings %s", path)
}

// ParseSettings decodes settings, fills in defaults and validates them.
func ParseSettings(b []byte) (*Settings, error) {
	// The model settings of the process and then those of the instance are decoded
	// on top of the defaults, so that each may set only some of the fields.
	var layers struct {
		Model     json.RawMessage `json:"model"`
		Instances []struct {
			Model json.RawMessage `json:"model"`
		} `json:"instances"`
	}
	s := &Settings{TimeScale: 1, Seed: 1, LogLevel: "info"}
	if err := settings.Decode(b, schema, s); err != nil {
		return nil, errors.Trace(err)
	}
	if err := json.Unmarshal(b, &layers); err != nil {
		return nil, errors.Annotate(err, "decode settings")
	}
	for i := range s.Instances {
		in := &s.Instances[i]
		m := DefaultModel()
		for _, layer := range []json.RawMessage{layers.Model, layers.Instances[i].Model} {
			if layer == nil {
				continue
			}
			if err := json.Unmarshal(layer, &m); err != nil {
				return nil, errors.Annotatef(err, "decode model of %s", in.ID)
			}
		}
		in.Model = &m
		if in.Entries == nil {
			in.Entries = s.Entries
		}
		if err := in.check(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return s, nil
}

// check validates the fields that depend on the kind of the instance, which the
// JSON schema does not cover.
func (in *InstanceSettings) check() error {
	switch {
	case in.Kind == announce.KindModel && len(in.Models) == 0:
		return errors.Errorf("instance %s: models is empty", in.ID)
	case in.Kind == announce.KindPlain && in.PathPrefix == "":
		return errors.Errorf("instance %s: path_prefix is empty", in.ID)
	}
	return nil
}
