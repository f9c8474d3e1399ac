package ctl

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"

	"bilberryhub/internal/config"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/wirepb"
)

// change is the document about a proposed change.
type change struct {
	Accepted bool `json:"accepted"`
	// Already is set when the same change was accepted earlier.
	Already       bool   `json:"already,omitempty"`
	Index         uint64 `json:"index"`
	NumberInForce uint64 `json:"number_in_force"`
	Code          string `json:"code,omitempty"`
	Message       string `json:"message,omitempty"`
}

func changeReport(what string, r *wirepb.Result) *report {
	doc := change{
		Accepted: r.GetCode() == "", Already: r.GetAlready(), Index: r.GetIndex(),
		NumberInForce: r.GetNumberInForce(), Code: r.GetCode(), Message: r.GetMessage(),
	}
	switch {
	case !doc.Accepted:
		return &report{exit: ExitRefused, doc: doc, text: fmt.Sprintf("%s refused: %s: %s", what, doc.Code, doc.Message)}
	case doc.Already:
		return &report{doc: doc, text: fmt.Sprintf("%s already accepted, in force at index %d", what, doc.Index)}
	}
	return &report{doc: doc, text: fmt.Sprintf("%s accepted at index %d", what, doc.Index)}
}

type checkDocument struct {
	Valid  bool             `json:"valid"`
	Number uint64           `json:"number,omitempty"`
	SHA256 string           `json:"sha256,omitempty"`
	Faults []manifest.Fault `json:"faults,omitempty"`
}

// read returns the manifest in a file, or the report of its faults.
func read(path string) ([]byte, *manifest.Manifest, *report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, nil, failed(ExitUsage, errors.Annotate(err, "read manifest"))
	}
	m, err := manifest.Parse(data)
	if err == nil {
		return data, m, nil, nil
	}
	var faults manifest.Errors
	if !errors.As(err, &faults) {
		return nil, nil, nil, failed(ExitRefused, err)
	}
	text := fmt.Sprintf("%s is invalid:\n  %s", path, strings.ReplaceAll(faults.Error(), "\n", "\n  "))
	return nil, nil, &report{exit: ExitRefused, text: text, doc: checkDocument{Faults: faults}}, nil
}

func (t *tool) check(path string) (*report, error) {
	data, m, invalid, err := read(path)
	if err != nil || invalid != nil {
		return invalid, err
	}
	h, err := manifest.ContentHash(data)
	if err != nil {
		return nil, failed(ExitRefused, err)
	}
	return &report{
		text: fmt.Sprintf("%s is valid: manifest %d, content %s", path, m.Number, h),
		doc:  checkDocument{Valid: true, Number: m.Number, SHA256: fmt.Sprintf("%x", h.SHA256)},
	}, nil
}

func (t *tool) apply(ctx context.Context, path string) (*report, error) {
	data, m, invalid, err := read(path)
	if err != nil || invalid != nil {
		return invalid, err
	}
	result, err := t.cluster.propose(ctx, &wirepb.Command{Body: &wirepb.Command_ApplyManifest{
		ApplyManifest: &wirepb.ApplyManifest{Number: m.Number, Content: data},
	}})
	if err != nil {
		return nil, err
	}
	return changeReport(fmt.Sprintf("manifest %d", m.Number), result), nil
}

// targetKinds maps the words of the command line to the kinds of targets.
var targetKinds = map[string]string{
	"failure-domain": config.TargetFailureDomain,
	"backend-server": config.TargetBackendServer,
}

// order proposes an order. Without a given number it takes the one after the
// order in force, so that the later one of two operators who read the same
// state is refused instead of silently overriding the earlier one.
func (t *tool) order(ctx context.Context, out bool, kind, name string) (*report, error) {
	target := config.Target{Kind: targetKinds[kind], Name: name}
	if target.Kind == "" {
		return nil, failed(ExitUsage, errors.Errorf("unknown target %q, expected failure-domain or backend-server", kind))
	}
	number := t.opts.number
	if number == 0 {
		v, err := t.cluster.newest(ctx)
		if err != nil {
			return nil, err
		}
		inForce, _ := v.Order(target)
		number = inForce.Number + 1
	}
	result, err := t.cluster.propose(ctx, &wirepb.Command{Body: &wirepb.Command_Order{Order: &wirepb.Order{
		Kind: target.Kind, Target: name, Out: out, Number: number, Reason: t.reason(),
	}}})
	if err != nil {
		// The number lets the operator repeat exactly this order.
		return nil, errors.Annotatef(err, "order %d for %s %s", number, kind, name)
	}
	return changeReport(fmt.Sprintf("order %d (%s %s %s)", number, kind, name, direction(out)), result), nil
}

func direction(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
