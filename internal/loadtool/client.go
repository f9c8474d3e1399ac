package loadtool

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryhub/internal/openai"

	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"
)

// Outcome is the result of a request as the caller observes it.
type Outcome string

// Outcomes of requests.
const (
	// OK responses are complete and correct, and arrived before the deadline, if any.
	OK Outcome = "ok"
	// Late responses are complete and correct but arrived after the deadline.
	Late Outcome = "late"
	// Refused requests got an error that states that they were not run.
	Refused Outcome = "refused"
	// Failed requests got another error, or no complete response.
	Failed Outcome = "failed"
	// Wrong responses fail checksum verification, belong to another request or have
	// chunks with different request ids.
	Wrong Outcome = "wrong"
)

// Call is one request of a caller. MaxTokens is the maximum number of output
// tokens.
type Call struct {
	Key       string
	Model     string
	Prompt    string
	MaxTokens int
	Urgency   string
	Deadline  time.Duration
	Chat      bool
	Stream    bool
	// PromptTokens is sent in the header X-Prompt-Tokens if it is positive.
	PromptTokens   int
	IdempotencyKey string
}

// Result describes the response to a call. TTFT and Total count from the start of the
// call. Prompt and Tokens are the numbers of prompt and output tokens. Code and Run are
// those of the error document: Run states whether the request was run. Entry is the
// address that the call was sent to, and Dispatch the id that the response carries.
type Result struct {
	Number   int     `json:"number"`
	Account  int     `json:"account"`
	Class    string  `json:"class"`
	Prompt   int     `json:"prompt_tokens"`
	Urgency  string  `json:"urgency,omitempty"`
	Burst    bool    `json:"burst,omitempty"`
	Outcome  Outcome `json:"outcome"`
	Status   int     `json:"status,omitempty"`
	Code     string  `json:"code,omitempty"`
	Run      string  `json:"run,omitempty"`
	Error    string  `json:"error,omitempty"`
	Entry    string  `json:"entry,omitempty"`
	Request  string  `json:"request_id,omitempty"`
	Dispatch string  `json:"dispatch_id,omitempty"`
	// Start is the time at which the call was sent, from the start of the run.
	Start time.Duration `json:"start_ns"`
	// TTFT is the time to the first token, or zero if none arrived.
	TTFT   time.Duration `json:"ttft_ns,omitempty"`
	Total  time.Duration `json:"total_ns"`
	Tokens int           `json:"tokens"`
	// Gaps are the times between consecutive tokens, if the client records them.
	Gaps []time.Duration `json:"-"`
}

// errorDocument is the body of an error of an entry process or an engine.
type errorDocument struct {
	Error struct {
		Code      string `json:"code"`
		Message   string `json:"message"`
		Run       string `json:"run"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// Client sends calls to the addresses of a balancer. It is safe for concurrent use.
type Client struct {
	balancer *Balancer
	http     *http.Client
	// RecordGaps enables Result.Gaps for streamed responses.
	RecordGaps bool
}

// dialTimeout is the timeout for connecting to an entry process, as a load balancer
// has it.
const dialTimeout = time.Second

// NewClient returns a client that sends to the addresses of the balancer.
func NewClient(b *Balancer) *Client {
	return &Client{balancer: b, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// path returns the URL path of the call.
func (c *Call) path() string {
	if c.Chat {
		return openai.ChatPath
	}
	return openai.CompletionPath
}

// body returns the request document of the call.
func (c *Call) body() *openai.Request {
	r := &openai.Request{Model: c.Model, MaxTokens: c.MaxTokens, Stream: c.Stream}
	if c.Chat {
		r.Messages = []openai.Message{{Role: "user", Content: openai.Content(c.Prompt)}}
	} else {
		r.Prompt = c.Prompt
	}
	return r
}

// request returns the HTTP request of the call to an address.
func (c *Call) request(ctx context.Context, address string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotatef(err, "build request to %s", address)
	}
	// Without GetBody, net/http cannot rewind the body and doesn't retry the request.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{
		"X-Urgency": c.Urgency, "Idempotency-Key": c.IdempotencyKey,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, c.Deadline.Milliseconds()), 10))
	}
	if c.PromptTokens > 0 {
		req.Header.Set(openai.HeaderPromptTokens, strconv.Itoa(c.PromptTokens))
	}
	return req, nil
}

// Do sends a call, reads and verifies its response, and returns the result. It doesn't
// retry a call, except at another address if the connection could not be established.
func (c *Client) Do(ctx context.Context, call *Call) *Result {
	body := call.body()
	doc, err := marshalCall(call)
	r := &Result{Outcome: Failed}
	if err != nil {
		r.Error = err.Error()
		return r
	}
	start := time.Now()
	resp, err := c.send(ctx, call, doc, r)
	if err != nil {
		r.Error, r.Run = err.Error(), "unknown"
		r.Total = time.Since(start)
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status, r.Request = resp.StatusCode, resp.Header.Get(openai.HeaderRequestID)
	switch {
	case resp.StatusCode != http.StatusOK:
		c.readError(resp.Body, r)
	case call.Stream:
		c.readStream(resp.Body, body.Text(), start, r)
	default:
		readNonStreaming(resp.Body, body.Text(), start, r)
	}
	r.Total = time.Since(start)
	if r.Outcome == OK && call.Deadline > 0 && r.Total > call.Deadline {
		r.Outcome = Late
	}
	return r
}

// send sends the body of a call to the next address of the balancer and records that
// address in r. It tries the next one only after a dial error.
func (c *Client) send(ctx context.Context, call *Call, doc []byte, r *Result) (*http.Response, error) {
	var err error
	for range c.balancer.Len() {
		r.Entry = c.balancer.Next()
		var req *http.Request
		if req, err = call.request(ctx, r.Entry, doc); err != nil {
			return nil, errors.Trace(err)
		}
		var resp *http.Response
		if resp, err = c.http.Do(req); err == nil {
			return resp, nil
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			break
		}
		c.balancer.MarkDown(r.Entry)
	}
	return nil, errors.Annotatef(err, "send to %s", r.Entry)
}

// readError reads an error document. It marks the address down if it is draining.
func (c *Client) readError(body io.Reader, r *Result) {
	var doc errorDocument
	_ = json.NewDecoder(io.LimitReader(body, 1<<16)).Decode(&doc)
	r.applyError(&doc)
	if r.Code == "draining" {
		c.balancer.MarkDown(r.Entry)
	}
}

// applyError sets the outcome according to an error document.
func (r *Result) applyError(doc *errorDocument) {
	r.Outcome, r.Code, r.Run, r.Error = Failed, doc.Error.Code, doc.Error.Run, doc.Error.Message
	if r.Run == "no" {
		r.Outcome = Refused
	}
}

// maxEventBytes is the maximum size of one server-sent event.
const maxEventBytes = 64 << 10

// readStream reads a streamed response and verifies its request id and completeness.
func (c *Client) readStream(body io.Reader, prompt string, start time.Time, r *Result) {
	var text strings.Builder
	terminated, mixedIDs, lastToken := false, false, start
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			r.Error = err.Error()
			break
		}
		if ev.Type == "error" {
			var doc errorDocument
			_ = json.Unmarshal([]byte(ev.Data), &doc)
			r.applyError(&doc)
			return
		}
		if ev.Data == openai.Done {
			terminated = true
			continue
		}
		var chunk openai.Response
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil || len(chunk.Choices) == 0 {
			r.Error = "chunk is no completion chunk"
			break
		}
		mixedIDs = mixedIDs || (r.Dispatch != "" && chunk.ID != r.Dispatch)
		r.Dispatch = chunk.ID
		if content := chunk.Choices[0].Content(); content != "" {
			text.WriteString(content)
			lastToken = r.recordToken(lastToken, start, c.RecordGaps)
		}
	}
	if !terminated {
		r.Code, r.Run = "stream_broken", "unknown"
		return
	}
	r.verify(prompt, text.String(), mixedIDs)
}

// recordToken counts one token and returns its arrival time. It records the time
// since the last token if recordGap is set.
func (r *Result) recordToken(lastToken, start time.Time, recordGap bool) time.Time {
	now := time.Now()
	r.Tokens++
	if r.Tokens == 1 {
		r.TTFT = now.Sub(start)
	} else if recordGap {
		r.Gaps = append(r.Gaps, now.Sub(lastToken))
	}
	return now
}

// readNonStreaming reads and verifies a response that is not streamed. Its TTFT is the
// time of the whole response.
func readNonStreaming(body io.Reader, prompt string, start time.Time, r *Result) {
	var doc openai.Response
	if err := json.NewDecoder(body).Decode(&doc); err != nil || len(doc.Choices) == 0 {
		r.Error, r.Code, r.Run = "answer is incomplete", "stream_broken", "unknown"
		return
	}
	r.Dispatch, r.TTFT = doc.ID, time.Since(start)
	if doc.Usage != nil {
		r.Tokens = doc.Usage.CompletionTokens
	}
	r.verify(prompt, doc.Choices[0].Content(), false)
}

// verify sets the outcome of a complete response according to its checksum and ids.
func (r *Result) verify(prompt, text string, mixedIDs bool) {
	requestID, ok := openai.CheckResponse(prompt, text)
	switch {
	case mixedIDs:
		r.Outcome, r.Code, r.Error = Wrong, "mixed_ids", "chunks carry different request ids"
	case !ok:
		r.Outcome, r.Code, r.Error = Wrong, "checksum", "checksum does not match"
	case requestID != r.Dispatch:
		r.Outcome, r.Code, r.Error = Wrong, "foreign_answer", "answer belongs to request "+requestID
	default:
		r.Outcome = OK
	}
}
