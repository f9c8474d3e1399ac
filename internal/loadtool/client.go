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

// Outcome is the end of a request as the caller sees it.
type Outcome string

// The outcomes of requests.
const (
	OK Outcome = "ok"
	// Late answers are complete and arrived after the deadline.
	Late Outcome = "late"
	// Refused requests got an error that says that they were not run.
	Refused Outcome = "refused"
	// Failed requests got another error, or no complete answer.
	Failed Outcome = "failed"
	// Wrong answers fail their checksum or mix request ids.
	Wrong Outcome = "wrong"
)

// Call is one request of a caller.
type Call struct {
	Key      string
	Model    string
	Prompt   string
	Tokens   int
	Urgency  string
	Deadline time.Duration
	Chat     bool
	Stream   bool
	// PromptTokens is sent as X-Prompt-Tokens if it is set.
	PromptTokens   int
	IdempotencyKey string
}

// Result describes the answer to a call. Times count from the start of the call.
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
	// Start counts from the start of the run.
	Start time.Duration `json:"start_ns"`
	// TTFT is the time to the first token; zero if none arrived.
	TTFT   time.Duration   `json:"ttft_ns,omitempty"`
	Total  time.Duration   `json:"total_ns"`
	Tokens int             `json:"tokens"`
	Gaps   []time.Duration `json:"-"`
}

// refusalDocument is the error of an entry process or an engine.
type refusalDocument struct {
	Error struct {
		Code      string `json:"code"`
		Message   string `json:"message"`
		Run       string `json:"run"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	balancer *Balancer
	http     *http.Client
	// KeepGaps records the time between the tokens of each answer.
	KeepGaps bool
}

// dialTimeout is how long a balancer waits for an entry process.
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

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Call) path() string {
	if c.Chat {
		return openai.ChatPath
	}
	return openai.CompletionPath
}

func (c *Call) body() *openai.Request {
	r := &openai.Request{Model: c.Model, MaxTokens: c.Tokens, Stream: c.Stream}
	if c.Chat {
		r.Messages = []openai.Message{{Role: "user", Content: openai.Content(c.Prompt)}}
	} else {
		r.Prompt = c.Prompt
	}
	return r
}

func (c *Call) request(ctx context.Context, address string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotatef(err, "build request to %s", address)
	}
	// A body that cannot be rewound keeps net/http from sending it again.
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

// Do sends a call and reads its answer. It never sends a call twice, except to
// another address when no connection could be made.
func (c *Client) Do(ctx context.Context, call *Call) *Result {
	body := call.body()
	doc, err := marshal(call)
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
		c.readRefusal(resp.Body, r)
	case call.Stream:
		c.readStream(resp.Body, body.Text(), start, r)
	default:
		readWhole(resp.Body, body.Text(), start, r)
	}
	r.Total = time.Since(start)
	if r.Outcome == OK && call.Deadline > 0 && r.Total > call.Deadline {
		r.Outcome = Late
	}
	return r
}

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
		c.balancer.Down(r.Entry)
	}
	return nil, errors.Annotatef(err, "send to %s", r.Entry)
}

func (c *Client) readRefusal(body io.Reader, r *Result) {
	var doc refusalDocument
	_ = json.NewDecoder(io.LimitReader(body, 1<<16)).Decode(&doc)
	r.take(&doc)
	if r.Code == "draining" {
		c.balancer.Down(r.Entry)
	}
}

// take applies an error document.
func (r *Result) take(doc *refusalDocument) {
	r.Outcome, r.Code, r.Run, r.Error = Failed, doc.Error.Code, doc.Error.Run, doc.Error.Message
	if r.Run == "no" {
		r.Outcome = Refused
	}
}

// maxEvent bounds one server-sent event.
const maxEvent = 64 << 10

// readStream reads a stream and checks identity and completeness.
func (c *Client) readStream(body io.Reader, prompt string, start time.Time, r *Result) {
	var text strings.Builder
	done, mixed, last := false, false, start
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			r.Error = err.Error()
			break
		}
		if ev.Type == "error" {
			var doc refusalDocument
			_ = json.Unmarshal([]byte(ev.Data), &doc)
			r.take(&doc)
			return
		}
		if ev.Data == openai.Done {
			done = true
			continue
		}
		var chunk openai.Response
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil || len(chunk.Choices) == 0 {
			r.Error = "chunk is no completion chunk"
			break
		}
		mixed = mixed || (r.Dispatch != "" && chunk.ID != r.Dispatch)
		r.Dispatch = chunk.ID
		if piece := chunk.Choices[0].Content(); piece != "" {
			text.WriteString(piece)
			last = r.token(last, start, c.KeepGaps)
		}
	}
	if !done {
		r.Code, r.Run = "stream_broken", "unknown"
		return
	}
	r.check(prompt, text.String(), mixed)
}

// token counts one token and returns its time.
func (r *Result) token(last, start time.Time, keep bool) time.Time {
	now := time.Now()
	r.Tokens++
	if r.Tokens == 1 {
		r.TTFT = now.Sub(start)
	} else if keep {
		r.Gaps = append(r.Gaps, now.Sub(last))
	}
	return now
}

func readWhole(body io.Reader, prompt string, start time.Time, r *Result) {
	var doc openai.Response
	if err := json.NewDecoder(body).Decode(&doc); err != nil || len(doc.Choices) == 0 {
		r.Error, r.Code, r.Run = "answer is incomplete", "stream_broken", "unknown"
		return
	}
	r.Dispatch, r.TTFT = doc.ID, time.Since(start)
	if doc.Usage != nil {
		r.Tokens = doc.Usage.CompletionTokens
	}
	r.check(prompt, doc.Choices[0].Content(), false)
}

// check decides whether a finished answer is the right one.
func (r *Result) check(prompt, text string, mixed bool) {
	ran, ok := openai.CheckAnswer(prompt, text)
	switch {
	case mixed:
		r.Outcome, r.Code, r.Error = Wrong, "mixed_ids", "chunks carry different request ids"
	case !ok:
		r.Outcome, r.Code, r.Error = Wrong, "checksum", "checksum does not match"
	case ran != r.Dispatch:
		r.Outcome, r.Code, r.Error = Wrong, "foreign_answer", "answer belongs to request "+ran
	default:
		r.Outcome = OK
	}
}
