package manifest

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/big"
	"strconv"
	"sync"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaJSON []byte

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return nil, errors.Annotate(err, "parse manifest schema")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("manifest.json", doc); err != nil {
		return nil, errors.Annotate(err, "add manifest schema")
	}
	s, err := c.Compile("manifest.json")
	return s, errors.Annotate(err, "compile manifest schema")
})

// checkSchema returns the violations of the JSON schema. It returns an error if data is
// not valid JSON.
func checkSchema(data []byte) ([]Fault, error) {
	schema, err := compiledSchema()
	if err != nil {
		return nil, errors.Trace(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "not valid JSON")
	}
	err = schema.Validate(doc)
	if err == nil {
		return nil, nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil, errors.Trace(err)
	}
	var faults []Fault
	collectFaults(invalid, message.NewPrinter(language.English), &faults)
	return faults, nil
}

// collectFaults appends one fault for each violation without causes of its own, so
// that each fault has the most specific path.
func collectFaults(e *jsonschema.ValidationError, p *message.Printer, faults *[]Fault) {
	for _, cause := range e.Causes {
		collectFaults(cause, p, faults)
	}
	if len(e.Causes) > 0 {
		return
	}
	tokens := make([]any, len(e.InstanceLocation))
	for i, t := range e.InstanceLocation {
		tokens[i] = t
	}
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			*faults = append(*faults, Fault{pointer(append(tokens, name)...), "unknown field"})
		}
	case *kind.Required:
		for _, name := range k.Missing {
			*faults = append(*faults, Fault{pointer(append(tokens, name)...), "missing field"})
		}
	case *kind.Minimum:
		*faults = append(*faults, rangeFault(tokens, k.Got, "at least", k.Want))
	case *kind.Maximum:
		*faults = append(*faults, rangeFault(tokens, k.Got, "at most", k.Want))
	case *kind.ExclusiveMinimum:
		*faults = append(*faults, rangeFault(tokens, k.Got, "more than", k.Want))
	default:
		*faults = append(*faults, Fault{pointer(tokens...), e.ErrorKind.LocalizedString(p)})
	}
}

func rangeFault(tokens []any, got *big.Rat, relation string, want *big.Rat) Fault {
	value, _ := got.Float64()
	limit, _ := want.Float64()
	return Fault{pointer(tokens...), fmt.Sprintf("is %.15g, must be %s %.15g", value, relation, limit)}
}

// duplicateKeys returns one fault for each repetition of a key within an object.
// Decoders keep the last value, so that a repeated key would hide the first one.
func duplicateKeys(data []byte) []Fault {
	// Valid limits the depth of nesting, and so the depth of recursion of the scan.
	if !json.Valid(data) {
		return nil
	}
	s := duplicateKeyScanner{dec: json.NewDecoder(bytes.NewReader(data))}
	s.dec.UseNumber()
	s.value("")
	return s.faults
}

// duplicateKeyScanner reads a valid JSON document and collects duplicate keys.
type duplicateKeyScanner struct {
	dec    *json.Decoder
	faults []Fault
}

// value scans the next value, which is at path.
func (s *duplicateKeyScanner) value(path string) {
	token, err := s.dec.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('{'):
		s.object(path)
	case json.Delim('['):
		for i := 0; s.dec.More(); i++ {
			s.value(path + "/" + strconv.Itoa(i))
		}
		_, _ = s.dec.Token()
	}
}

// object scans the rest of an object whose opening brace has been read.
func (s *duplicateKeyScanner) object(path string) {
	seen := map[string]bool{}
	for s.dec.More() {
		token, err := s.dec.Token()
		if err != nil {
			return
		}
		key, _ := token.(string)
		at := path + pointer(key)
		if seen[key] {
			s.faults = append(s.faults, Fault{at, "duplicate key"})
		}
		seen[key] = true
		s.value(at)
	}
	_, _ = s.dec.Token()
}
