package loadtool

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// maxSingleResponseBytes is the maximum size of the response to a single call. The rest is
// ignored.
const maxSingleResponseBytes = 1 << 20

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

// SingleResponse is the response to one transmission of a single call. Replay is set if
// the response is a replay of an earlier one.
type SingleResponse struct {
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
		response, err := t.sendSingle(ctx, t.settings.Entries[i%len(t.settings.Entries)])
		if err != nil {
			return nil, errors.Trace(err)
		}
		rep.Single = append(rep.Single, response)
	}
	return rep, nil
}

// sendSingle sends the call to one entry process. An HTTP error status is not an
// error.
func (t *Tool) sendSingle(ctx context.Context, entry string) (SingleResponse, error) {
	s := t.settings.Single
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+entry+s.Path, strings.NewReader(s.Body))
	if err != nil {
		return SingleResponse{}, errors.Annotate(err, "build call")
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
		return SingleResponse{}, errors.Annotatef(err, "call %s", entry)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSingleResponseBytes))
	return SingleResponse{
		Entry: entry, Status: resp.StatusCode, Replay: resp.Header.Get("X-Idempotent-Replay") != "",
		Body: strings.TrimSpace(string(body)),
	}, errors.Annotatef(err, "read answer of %s", entry)
}
