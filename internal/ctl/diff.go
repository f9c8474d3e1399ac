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

// difference is one value that applying a manifest would change. Before is nil
// for a new value and After for a removed one.
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

type diffDocument struct {
	NumberInForce uint64       `json:"number_in_force"`
	Number        uint64       `json:"number"`
	Differences   []difference `json:"differences"`
}

func (t *tool) diff(ctx context.Context, path string) (*report, error) {
	data, m, invalid, err := read(path)
	if err != nil || invalid != nil {
		return invalid, err
	}
	v, err := t.cluster.newest(ctx)
	if err != nil {
		return nil, err
	}
	differences, err := compare(v.Snapshot.GetManifest(), data)
	if err != nil {
		return nil, failed(ExitRefused, err)
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

// compare lists the differences between two JSON documents, sorted by path.
// Elements of lists are matched by their name, so that a moved service does
// not count as changed.
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

// flatten maps the path of each value that has no named parts to its JSON.
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

// isScalarList reports whether value is a list without objects, which is shown
// as a whole.
func isScalarList(value any) bool {
	list, ok := value.([]any)
	return ok && !slices.ContainsFunc(list, func(e any) bool { _, ok := e.(map[string]any); return ok })
}

// elementName returns the name of a list element: of a grant its service, of a
// call its method and path, and otherwise its position.
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
