package manifest

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// base returns the valid manifest that test cases modify.
func base(t testing.TB) []byte {
	data, err := os.ReadFile("testdata/base.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// edit returns data with some values replaced. Each line consists of the JSON pointer
// and the new value as JSON.
func edit(t *testing.T, data []byte, lines string) []byte {
	var doc any
	if err := json.Unmarshal(data, &doc); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(lines) {
		path, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		var value any
		if err := json.Unmarshal([]byte(text), &value); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		tokens := strings.Split(path, "/")[1:]
		at := doc
		for i, token := range tokens {
			token = strings.NewReplacer("~1", "/", "~0", "~").Replace(token)
			last := i == len(tokens)-1
			switch parent := at.(type) {
			case map[string]any:
				if last {
					parent[token] = value
				}
				at = parent[token]
			case []any:
				n, err := strconv.Atoi(token)
				if err != nil {
					t.Fatal(err)
				}
				if last {
					parent[n] = value
				}
				at = parent[n]
			}
		}
	}
	out, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against an error in a manifest that is accepted, reported without its path, or
// masked by another error.
func TestParseFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		data := []byte(d.Input)
		if d.Cmd == "parse" {
			data = edit(t, base(t), d.Input)
		}
		m, err := Parse(data)
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("ok number %d\n", m.Number)
	})
}

// Guards against a lookup that returns another account, service or grant.
func TestLookups(t *testing.T) {
	m, err := Parse(base(t))
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/lookups", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			fmt.Fprintln(&out, lookup(m, d.Cmd, strings.Fields(line)))
		}
		return out.String()
	})
}

// lookup runs one lookup of testdata/lookups and returns the result as text.
func lookup(m *Manifest, cmd string, args []string) string {
	name := func(s *Service, ok bool) string {
		if !ok {
			return "none"
		}
		return s.Name
	}
	switch cmd {
	case "key":
		if a, ok := m.AccountByKey(args[0]); ok {
			return a.Name
		}
	case "model":
		return name(m.ServiceByModel(args[0]))
	case "path":
		return name(m.ServiceByPath(args[0]))
	case "grant":
		if g, ok := m.Grant(args[0], args[1]); ok {
			return fmt.Sprintf("%v rate %g concurrent %d", g.Urgencies, g.RatePerSecond, g.Concurrent)
		}
	case "idempotent":
		if s, ok := m.Service(args[0]); ok {
			return strconv.FormatBool(s.IsIdempotent(args[1], args[2]))
		}
	case "defaults":
		if s, ok := m.Service(args[0]); ok {
			return fmt.Sprintf("cold %d deadline %d body %d output %d", s.ColdLimitRequests, s.DeadlineMs, s.MaxBodyBytes, s.MaxOutputTokens)
		}
	}
	return "none"
}

func contentHash(t *testing.T, data []byte) Hash {
	t.Helper()
	h, err := ContentHash(data)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// Guards against equal content with different hashes because of its layout, and against
// different content with equal hashes.
func TestContentHash(t *testing.T) {
	hash := func(text string) Hash { return contentHash(t, []byte(text)) }
	a := hash(`{"number": 1, "services": [{"name":"a","kind":"model"}]}`)
	if b := hash("{\"services\":[{\"kind\":\"model\",\n\"name\":\"a\"}],\"number\":1}"); a != b {
		t.Errorf("layout changes the hash: %v and %v", a, b)
	}
	// 2^53 and 2^53+1 are equal as floating point numbers.
	if hash(`{"n":9007199254740992}`) == hash(`{"n":9007199254740993}`) {
		t.Error("different numbers have equal hashes")
	}
	if hash(`{"l":["a","b"]}`) == hash(`{"l":["b","a"]}`) {
		t.Error("lists of different order have equal hashes")
	}
}

// Guards against documents that crash the process, and against accepted documents whose
// canonical form is parsed differently.
func FuzzParse(f *testing.F) {
	f.Add(base(f))
	f.Add([]byte(`{"number":1e999999999,"services":[],"number":2}`))
	f.Add([]byte(strings.Repeat("[", 20000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(data)
		if err != nil {
			return
		}
		canonical, err := canonicalJSON(data)
		if err != nil {
			t.Fatalf("accepted document has no canonical form: %v", err)
		}
		again, err := Parse(canonical)
		if err != nil {
			t.Fatalf("canonical form is refused: %v", err)
		}
		if got, want := contentHash(t, canonical), contentHash(t, data); got != want || again.Number != m.Number {
			t.Fatalf("canonical form differs: %v and %v", got, want)
		}
		// All other processes must decode an accepted document in the same way.
		decoded, err := Decode(data)
		if err != nil || !reflect.DeepEqual(decoded, m) {
			t.Fatalf("decoded form differs: %v", err)
		}
	})
}

// Guards against an accepted manifest that is decoded differently, or refused, by the
// processes that receive it and omit the full validation.
func TestDecodeReadsWhatParseAccepts(t *testing.T) {
	for _, doc := range []string{
		string(base(t)),
		`{"number":3,"routing":{"routes":[{"name":"r","host":"H","path_prefix":"/a/","repeat":"stream","timeout_ms":5,` +
			`"targets":[{"service":"s","weight":1}]}],"services":[{"name":"s","engine":{"slots":3}}],"source":"{}"}}`,
	} {
		want, err := Parse([]byte(doc))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode([]byte(doc))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("decoded as %+v with error %v, parsed as %+v", got, err, want)
		}
	}
	for name, doc := range map[string]string{
		"unknown field":      `{"number":3,"limit":1,"routing":{"routes":[],"services":[]}}`,
		"dangling reference": `{"number":3,"routing":{"routes":[{"name":"r","targets":[{"service":"s","weight":1}]}],"services":[]}}`,
		"cut short":          `{"number":3,"routing":{"routes":[`,
	} {
		if _, err := Decode([]byte(doc)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
