package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const exampleSchema = `{
  "type": "object",
  "additionalProperties": false,
  "required": ["id", "peers"],
  "properties": {
    "id": {"type": "string", "minLength": 1},
    "peers": {"type": "array", "items": {"type": "string"}},
    "limit": {"type": "integer", "minimum": 1}
  }
}`

type example struct {
	ID    string   `json:"id"`
	Peers []string `json:"peers"`
	Limit int      `json:"limit"`
}

// Guards against a mistyped field of a settings file that silently becomes a default.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(t *testing.T, d *datadriven.TestData) string {
		var v example
		if err := Decode([]byte(d.Input), []byte(exampleSchema), &v); err != nil {
			return strings.TrimSpace(err.Error()) + "\n"
		}
		return "ok " + v.ID + "\n"
	})
}
