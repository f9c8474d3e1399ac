package loadtool

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// maxSingleAnswerBytes is the maximum size of the answer to a single call. The rest is
// ignored.
const maxSingleAnswerBytes = 1 << 20

// Single is one call of a plain service, for ModeSingle.
type Single struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
	// IdempotencyKey is sent when it is not empty.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Repeat is the number of times that the same call is sent again, each time
	// to the next entry process.
	Repeat int `json:"repeat,omitempty"`
}

// SingleAnswer is the answer to one transmission of a single call. Replay is set if
// the answer is a replay of an earlier one.
type SingleAnswer struct {
	Entry  string `json:"entry"`
	Status int    `json:"status"`
	Replay bool   `json:"replay"`
	Body   string `json:"body"`
}

// runSingle sends the call and its repetitions sequentially.
func (t *Tool) runSingle(ctx context.Context) (*Report, error) {
	s := t.settings.Single
	if s == nil {
		return nil, errors.New("mode single needs the section single")
	}
	rep := Summarise(nil)
	for i := 0; i <= s.Repeat; i++ {
		answer, err := t.sendSingle(ctx, t.settings.Entries[i%len(t.settings.Entries)])
		if err != nil {
			return nil, errors.Trace(err)
		}
		rep.Single = append(rep.Single, answer)
	}
	return rep, nil
}

// sendSingle sends the call to one entry process. An HTTP error status is not an
// error.
func (t *Tool) sendSingle(ctx context.Context, entry string) (SingleAnswer, error) {
	s := t.settings.Single
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+entry+s.Path, strings.NewReader(s.Body))
	if err != nil {
		return SingleAnswer{}, errors.Annotate(err, "build call")
	}
	req.Header.Set("Content-Type", "application/json")
	if len(t.settings.Keys) > 0 {
		req.Header.Set("Authorization", "Bearer "+t.settings.Keys[0])
	}
	if s.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", s.IdempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return SingleAnswer{}, errors.Annotatef(err, "call %s", entry)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSingleAnswerBytes))
	return SingleAnswer{
		Entry: entry, Status: resp.StatusCode, Replay: resp.Header.Get("X-Idempotent-Replay") != "",
		Body: strings.TrimSpace(string(body)),
	}, errors.Annotatef(err, "read answer of %s", entry)
}
