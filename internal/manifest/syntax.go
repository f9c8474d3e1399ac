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

// checkSchema returns the faults that the JSON schema finds. The error is set
// when data is not JSON.
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
	collect(invalid, message.NewPrinter(language.English), &faults)
	return faults, nil
}

func collect(e *jsonschema.ValidationError, p *message.Printer, faults *[]Fault) {
	for _, cause := range e.Causes {
		collect(cause, p, faults)
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

// duplicateKeys returns one fault for each key that an object repeats. Decoders
// keep the last value, so a repeated key would hide the first one.
func duplicateKeys(data []byte) []Fault {
	// Valid bounds the nesting, which bounds the depth of the scan.
	if !json.Valid(data) {
		return nil
	}
	s := keyScan{dec: json.NewDecoder(bytes.NewReader(data))}
	s.dec.UseNumber()
	s.value("")
	return s.faults
}

type keyScan struct {
	dec    *json.Decoder
	faults []Fault
}

func (s *keyScan) value(path string) {
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

func (s *keyScan) object(path string) {
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
