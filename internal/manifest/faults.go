package manifest

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	// Path is the JSON pointer of the value, empty for the whole document.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (f Fault) String() string {
	if f.Path == "" {
		return "document: " + f.Message
	}
	return f.Path + ": " + f.Message
}

// Errors are all faults of a document, in the order of their paths.
type Errors []Fault

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts faults in place by path and message, and removes duplicates.
func sorted(faults []Fault) Errors {
	slices.SortFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(faults)
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// pointer returns the JSON pointer of the tokens, which are strings or ints.
func pointer(tokens ...any) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteByte('/')
		switch t := t.(type) {
		case int:
			b.WriteString(strconv.Itoa(t))
		case string:
			b.WriteString(pointerEscapes.Replace(t))
		}
	}
	return b.String()
}
