package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// Guards against fields that are lost, or held in a multiple of their size, if a completion
// request has many.
func TestFieldsOfModelRequest(t *testing.T) {
	for _, n := range []int{0, maxHeldFields, 4 * maxHeldFields} {
		var in bytes.Buffer
		in.WriteString(`{"model":"m","prompt":"p","max_tokens":5`)
		for i := range n {
			fmt.Fprintf(&in, `,"f%d":%d`, i, i)
		}
		in.WriteString("}")
		c, refErr := parseModelRequest(completionPath, in.Bytes())
		if refErr != nil {
			t.Fatal(refErr)
		}
		if len(c.fields) > maxHeldFields {
			t.Errorf("%d fields are held", len(c.fields))
		}
		out, err := c.body(3, map[string]any{"prompt": "q"})
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]any
		if err := json.Unmarshal(out, &fields); err != nil {
			t.Fatal(err)
		}
		if len(fields) != n+4 || fields["prompt"] != "q" || fields["priority"] != 3.0 || fields["max_tokens"] != 5.0 {
			t.Errorf("%d fields of %d: %.200s", len(fields), n+4, out)
		}
		if n > 0 && fields[fmt.Sprintf("f%d", n-1)] != float64(n-1) {
			t.Errorf("the last of %d fields is lost", n)
		}
	}
}
