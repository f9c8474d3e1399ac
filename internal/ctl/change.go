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

// changeDocument is the JSON document that reports the result of a proposed change.
type changeDocument struct {
	Accepted bool `json:"accepted"`
	// Already is set if the same change had been accepted before.
	Already       bool   `json:"already,omitempty"`
	Index         uint64 `json:"index"`
	NumberInForce uint64 `json:"number_in_force"`
	Code          string `json:"code,omitempty"`
	Message       string `json:"message,omitempty"`
}

// changeReport returns the report of a proposed change. subject names the manifest or
// order in its text.
func changeReport(subject string, r *wirepb.Result) *report {
	doc := changeDocument{
		Accepted: r.GetCode() == "", Already: r.GetAlready(), Index: r.GetIndex(),
		NumberInForce: r.GetNumberInForce(), Code: r.GetCode(), Message: r.GetMessage(),
	}
	switch {
	case !doc.Accepted:
		return &report{exitCode: ExitRefused, doc: doc, text: fmt.Sprintf("%s refused: %s: %s", subject, doc.Code, doc.Message)}
	case doc.Already:
		return &report{doc: doc, text: fmt.Sprintf("%s already accepted, in force at index %d", subject, doc.Index)}
	}
	return &report{doc: doc, text: fmt.Sprintf("%s accepted at index %d", subject, doc.Index)}
}

// checkDocument is the JSON document that reports the result of a manifest check.
type checkDocument struct {
	Valid  bool             `json:"valid"`
	Number uint64           `json:"number,omitempty"`
	SHA256 string           `json:"sha256,omitempty"`
	Faults []manifest.Fault `json:"faults,omitempty"`
}

// readManifest returns the content of a manifest file and the parsed manifest. If the
// manifest is invalid, it returns the report of its faults instead.
func readManifest(path string) ([]byte, *manifest.Manifest, *report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, nil, withExitCode(ExitUsage, errors.Annotate(err, "read manifest"))
	}
	m, err := manifest.Parse(data)
	if err == nil {
		return data, m, nil, nil
	}
	var faults manifest.Errors
	if !errors.As(err, &faults) {
		return nil, nil, nil, withExitCode(ExitRefused, err)
	}
	text := fmt.Sprintf("%s is invalid:\n  %s", path, strings.ReplaceAll(faults.Error(), "\n", "\n  "))
	return nil, nil, &report{exitCode: ExitRefused, text: text, doc: checkDocument{Faults: faults}}, nil
}

// check validates a manifest file without any process.
func (t *tool) check(path string) (*report, error) {
	data, m, invalid, err := readManifest(path)
	if err != nil || invalid != nil {
		return invalid, err
	}
	h, err := manifest.ContentHash(data)
	if err != nil {
		return nil, withExitCode(ExitRefused, err)
	}
	return &report{
		text: fmt.Sprintf("%s is valid: manifest %d, content %s", path, m.Number, h),
		doc:  checkDocument{Valid: true, Number: m.Number, SHA256: fmt.Sprintf("%x", h.SHA256)},
	}, nil
}

// apply proposes the manifest in a file.
func (t *tool) apply(ctx context.Context, path string) (*report, error) {
	data, m, invalid, err := readManifest(path)
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

// targetKinds maps the command line arguments that name a kind of target to that kind.
var targetKinds = map[string]string{
	"failure-domain": config.TargetFailureDomain,
	"backend-server": config.TargetBackendServer,
}

// order proposes an order that takes a target out of service or into service again.
// Without an explicit number the order gets the number after the order in force. If
// two operators act on the same state, the second order is therefore refused instead
// of silently overriding the first one.
func (t *tool) order(ctx context.Context, out bool, kind, name string) (*report, error) {
	target := config.Target{Kind: targetKinds[kind], Name: name}
	if target.Kind == "" {
		return nil, withExitCode(ExitUsage, errors.Errorf("unknown target %q, expected failure-domain or backend-server", kind))
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
		// The error includes the number so that the operator can repeat exactly
		// this order.
		return nil, errors.Annotatef(err, "order %d for %s %s", number, kind, name)
	}
	return changeReport(fmt.Sprintf("order %d (%s %s %s)", number, kind, name, direction(out)), result), nil
}

// direction returns the command line word for an order.
func direction(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
