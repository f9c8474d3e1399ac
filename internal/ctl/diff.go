package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// difference is one value that applying a manifest would change. Before is nil for
// an added value, and After is nil for a removed one.
type difference struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func (d difference) String() string {
	switch {
	case d.Before == nil:
		return fmt.Sprintf("+ %s %s", d.Path, d.After)
	case d.After == nil:
		return fmt.Sprintf("- %s %s", d.Path, d.Before)
	}
	return fmt.Sprintf("~ %s %s -> %s", d.Path, d.Before, d.After)
}

// diffDocument is the JSON document that reports the differences.
type diffDocument struct {
	NumberInForce uint64       `json:"number_in_force"`
	Number        uint64       `json:"number"`
	Differences   []difference `json:"differences"`
}

// diff reports the differences between the newest manifest in force and a file.
func (t *tool) diff(ctx context.Context, path string) (*report, error) {
	data, m, invalid, err := readManifest(path)
	if err != nil || invalid != nil {
		return invalid, err
	}
	v, err := t.cluster.newest(ctx)
	if err != nil {
		return nil, err
	}
	differences, err := compare(v.Snapshot.GetManifest(), data)
	if err != nil {
		return nil, withExitCode(ExitRefused, err)
	}
	text := fmt.Sprintf("manifest %d in force, %d in %s", v.Number, m.Number, path)
	if len(differences) == 0 {
		text += ": no difference"
	}
	for _, d := range differences {
		text += "\n" + d.String()
	}
	return &report{text: text, doc: diffDocument{v.Number, m.Number, differences}}, nil
}

// compare returns the differences between two JSON documents, sorted by path.
// Elements of lists are matched by name, so that a service whose position has changed
// is no difference.
func compare(before, after []byte) ([]difference, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, errors.Annotate(err, "manifest in force")
	}
	next, err := flatten(after)
	if err != nil {
		return nil, errors.Annotate(err, "new manifest")
	}
	var out []difference
	for path, value := range old {
		if !bytes.Equal(value, next[path]) {
			out = append(out, difference{path, value, next[path]})
		}
	}
	for path, value := range next {
		if old[path] == nil {
			out = append(out, difference{path, nil, value})
		}
	}
	slices.SortFunc(out, func(a, b difference) int { return strings.Compare(a.Path, b.Path) })
	return out, nil
}

// flatten returns a map from path to JSON of all values that have no named parts.
func flatten(document []byte) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	if len(document) == 0 {
		return out, nil
	}
	dec := json.NewDecoder(bytes.NewReader(document))
	dec.UseNumber()
	var doc any
	if err := dec.Decode(&doc); err != nil {
		return nil, errors.Annotate(err, "decode")
	}
	return out, flattenValue("", doc, out)
}

// flattenValue adds the values at and below path to out.
func flattenValue(path string, value any, out map[string]json.RawMessage) error {
	parts := map[string]any{}
	switch v := value.(type) {
	case map[string]any:
		parts = v
	case []any:
		for i, element := range v {
			parts[elementName(i, element)] = element
		}
	}
	if len(parts) == 0 || isScalarList(value) {
		text, err := json.Marshal(value)
		out[path] = text
		return errors.Trace(err)
	}
	for name, part := range parts {
		if err := flattenValue(path+"/"+name, part, out); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// isScalarList reports whether value is a list without objects. Such a list is
// compared as a whole.
func isScalarList(value any) bool {
	list, ok := value.([]any)
	return ok && !slices.ContainsFunc(list, func(e any) bool { _, ok := e.(map[string]any); return ok })
}

// elementName returns the name of a list element: its name field if it has one, the
// service of a grant, the method and path of a call, and otherwise its position.
func elementName(i int, element any) string {
	fields, _ := element.(map[string]any)
	for _, keys := range [][]string{{"name"}, {"service"}, {"method", "path"}} {
		var words []string
		for _, key := range keys {
			if word, ok := fields[key].(string); ok {
				words = append(words, word)
			}
		}
		if len(words) == len(keys) {
			return strings.Join(words, " ")
		}
	}
	return strconv.Itoa(i)
}
