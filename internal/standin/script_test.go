package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bilberryhub/internal/announce"
	"bilberryhub/internal/openai"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits every wait of the tests; it is not reached on a slow machine.
const testTimeout = 30 * time.Second

// script runs the datadriven commands of testdata/protocol and testdata/faults on
// instances over HTTP.
type script struct {
	t         *testing.T
	client    *http.Client
	instances map[string]*Instance
	// currentName is the name of the instance that commands without a name use:
	// that of the last command with one.
	currentName string
	// pending has the results of calls in the background, by request id.
	pending map[string]chan string
}

func newScript(t *testing.T) *script {
	s := &script{
		t: t, client: &http.Client{Transport: &http.Transport{}, Timeout: testTimeout},
		instances: map[string]*Instance{}, pending: map[string]chan string{},
	}
	t.Cleanup(s.stop)
	return s
}

func (s *script) stop() {
	s.client.CloseIdleConnections()
	for _, in := range s.instances {
		in.Stop()
	}
	peerClient.CloseIdleConnections()
	s.instances = map[string]*Instance{}
}

// settingsFor returns the settings of an instance of the given kind with the fields
// of the JSON document input in place of the defaults.
func settingsFor(t *testing.T, kind, input string) InstanceSettings {
	base := map[string]any{
		"id": "x", "kind": kind, "listen": "127.0.0.1:0", "failure_domain": "d", "service": "s", "first_boot": 1,
	}
	if kind == "model" {
		base["models"] = []string{"m"}
	} else {
		base["path_prefix"] = "/booking"
	}
	if strings.TrimSpace(input) != "" {
		if err := json.Unmarshal([]byte(input), &base); err != nil {
			t.Fatal(err)
		}
	}
	doc, _ := json.Marshal(map[string]any{"instances": []any{base}})
	parsed, err := ParseSettings(doc)
	if err != nil {
		t.Fatal(err)
	}
	return parsed.Instances[0]
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	var id string
	d.MaybeScanArgs(t, "at", &id)
	if id != "" {
		s.currentName = id
	}
	switch d.Cmd {
	case "reset":
		s.stop()
		return ""
	case "engine", "plain":
		kind := announce.KindModel
		if d.Cmd == "plain" {
			kind = announce.KindPlain
		}
		cfg := settingsFor(t, string(kind), d.Input)
		scale := 0.01
		d.MaybeScanArgs(t, "scale", &scale)
		instance := NewInstance(cfg, scale, 1, zap.NewNop())
		if err := instance.Start(); err != nil {
			t.Fatal(err)
		}
		s.currentName = d.Cmd
		d.MaybeScanArgs(t, "name", &s.currentName)
		s.instances[s.currentName] = instance
		return ""
	case "faults":
		return s.post("/admin/faults", d.Input)
	case "set":
		s.client.CloseIdleConnections()
		if _, err := s.instance().SetFaults(func(f *Faults) error { return json.Unmarshal([]byte(d.Input), f) }); err != nil {
			return err.Error() + "\n"
		}
		return ""
	case "order":
		return s.post("/v1/orders", d.Input)
	case "call", "start", "join":
		return s.call(d)
	case "stream", "cancel":
		return s.stream(d)
	case "effect":
		return s.effect(d)
	case "effects":
		return fmt.Sprintln(s.instance().Effects())
	case "until":
		return s.until(d)
	case "sleep":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait)
		return ""
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *script) instance() *Instance { return s.instances[s.currentName] }

func (s *script) url(path string) string { return "http://" + s.instance().Address() + path }

func (s *script) post(path, body string) string {
	resp, err := s.client.Post(s.url(path), "application/json", strings.NewReader(body))
	if err != nil {
		return "connection lost\n"
	}
	defer func() { _ = resp.Body.Close() }()
	var doc struct {
		Error struct{ Code string }
	}
	_ = json.NewDecoder(resp.Body).Decode(&doc)
	return strings.TrimSpace(fmt.Sprintln(resp.StatusCode, doc.Error.Code)) + "\n"
}

// until polls the stats until each named field has the given value.
func (s *script) until(d *datadriven.TestData) string {
	end := time.Now().Add(testTimeout)
	for {
		raw, _ := json.Marshal(s.instance().Stats())
		var doc map[string]any
		_ = json.Unmarshal(raw, &doc)
		met := true
		for _, arg := range d.CmdArgs {
			if arg.Key != "at" && fmt.Sprint(doc[arg.Key]) != arg.Vals[0] {
				met = false
			}
		}
		if met {
			return "reached\n"
		}
		if time.Now().After(end) {
			return fmt.Sprintf("not reached: %s\n", raw)
		}
		time.Sleep(time.Millisecond)
	}
}

// call sends a completion request. The command start does so in the background, and
// returns when the engine has the request; join waits for its result.
func (s *script) call(d *datadriven.TestData) string {
	id, prompt, tokens := "r", "hello", 0
	d.MaybeScanArgs(s.t, "id", &id)
	if d.Cmd == "join" {
		select {
		case out := <-s.pending[id]:
			return out
		case <-time.After(testTimeout):
			return "no result\n"
		}
	}
	body := openai.Request{Model: "m", MaxTokens: 3, Stream: d.HasArg("stream") || d.HasArg("break")}
	d.MaybeScanArgs(s.t, "prompt", &prompt)
	d.MaybeScanArgs(s.t, "tokens", &tokens)
	d.MaybeScanArgs(s.t, "max", &body.MaxTokens)
	d.MaybeScanArgs(s.t, "priority", &body.Priority)
	if tokens > 0 {
		prompt = strings.Repeat("abcd", tokens)
	}
	body.Messages = []openai.Message{{Role: "user", Content: openai.Content(prompt)}}
	header := http.Header{openai.HeaderRequestID: {id}}
	if d.HasArg("resumable") {
		header.Set(openai.HeaderResumable, "1")
	}
	breakAfter := 0
	d.MaybeScanArgs(s.t, "break", &breakAfter)
	url := s.url(openai.ChatPath)
	if d.Cmd == "call" {
		began, minMS := time.Now(), 0
		out := s.complete(url, header, &body, breakAfter)
		if d.MaybeScanArgs(s.t, "least_ms", &minMS); time.Since(began) < time.Duration(minMS)*time.Millisecond {
			return "too early: " + out
		}
		return out
	}
	result := make(chan string, 1)
	s.pending[id] = result
	before := s.instance().Stats().Requests
	go func() { result <- s.complete(url, header, &body, breakAfter) }()
	for end := time.Now().Add(testTimeout); s.instance().Stats().Requests == before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return ""
}

// complete sends a completion request and returns a description of the response.
func (s *script) complete(url string, header http.Header, body *openai.Request, breakAfter int) string {
	doc, _ := json.Marshal(body)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(doc))
	req.Header = header
	req.GetBody = nil
	resp, err := s.client.Do(req)
	if err != nil {
		return "connection lost\n"
	}
	defer func() { _ = resp.Body.Close() }()
	out := fmt.Sprintf("%d id=%s", resp.StatusCode, resp.Header.Get(openai.HeaderRequestID)) + said(resp)
	switch {
	case resp.StatusCode != http.StatusOK:
		var e struct{ Error struct{ Code string } }
		_ = json.NewDecoder(resp.Body).Decode(&e)
		return out + " " + e.Error.Code + "\n"
	case body.Stream:
		return out + s.readStream(resp, body.Text(), breakAfter)
	}
	var full openai.Response
	if err := json.NewDecoder(resp.Body).Decode(&full); err != nil {
		return out + " connection lost\n"
	}
	requestID, ok := openai.CheckResponse(body.Text(), full.Choices[0].Content())
	return out + fmt.Sprintf(" checksum=%v of %s, %d tokens\n", ok, requestID, full.Usage.CompletionTokens)
}

// said describes what a response says of its instance.
func said(resp *http.Response) string {
	out := ""
	if v := resp.Header.Get(announce.LeavingHeader); v != "" {
		out += " leaving=" + v
	}
	if v := resp.Header.Get("Retry-After"); v != "" {
		out += " retry=" + v
	}
	return out
}

// readStream reads a stream to its end, or to breakAfter events if that is positive,
// and returns a description of its events.
func (s *script) readStream(resp *http.Response, prompt string, breakAfter int) string {
	var ids, chunkIDs []string
	var text strings.Builder
	done, usage := false, 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, n)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == openai.Done {
			done = true
			continue
		}
		var c openai.Response
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return " " + err.Error() + "\n"
		}
		if len(chunkIDs) == 0 || chunkIDs[len(chunkIDs)-1] != c.ID {
			chunkIDs = append(chunkIDs, c.ID)
		}
		text.WriteString(c.Choices[0].Content())
		if c.Usage != nil {
			usage = c.Usage.CompletionTokens
		}
		if breakAfter > 0 && len(ids) >= breakAfter {
			return fmt.Sprintf(" broke after event %s\n", ids[len(ids)-1])
		}
	}
	out := fmt.Sprintf(" events=%s chunks=%v done=%v usage=%d", strings.Join(ids, ","), chunkIDs, done, usage)
	if prompt != "" {
		requestID, ok := openai.CheckResponse(prompt, text.String())
		out += fmt.Sprintf(" checksum=%v of %s", ok, requestID)
	}
	if lines.Err() != nil {
		out += ", connection lost"
	}
	return out + "\n"
}

// stream resumes or cancels a stream.
func (s *script) stream(d *datadriven.TestData) string {
	var id string
	last := -1
	d.ScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "last", &last)
	method := http.MethodGet
	if d.Cmd == "cancel" {
		method = http.MethodDelete
	}
	req, _ := http.NewRequest(method, s.url(openai.StreamsPath+id), nil)
	if last >= 0 {
		req.Header.Set(openai.HeaderLastEventID, strconv.Itoa(last))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return "connection lost\n"
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintln(resp.StatusCode)
	}
	return "200" + s.readStream(resp, "", 0)
}

// effect calls the plain service.
func (s *script) effect(d *datadriven.TestData) string {
	var id string
	method := http.MethodPost
	d.ScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "method", &method)
	req, _ := http.NewRequest(method, s.url("/booking/jobs"), strings.NewReader(d.Input))
	req.Header.Set(openai.HeaderRequestID, id)
	req.Header.Set(HeaderEffectID, id)
	// Without GetBody the client cannot rewind the body, so it does not retry the
	// request.
	req.GetBody = nil
	resp, err := s.client.Do(req)
	if err != nil {
		return "connection lost\n"
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%d id=%s%s\n", resp.StatusCode, resp.Header.Get(openai.HeaderRequestID), said(resp))
	}
	var reply PlainReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return fmt.Sprintln(resp.StatusCode, "truncated")
	}
	return fmt.Sprintf("%d id=%s runs=%d boot=%d\n", resp.StatusCode,
		resp.Header.Get(openai.HeaderRequestID), reply.Runs, reply.Boot)
}

// Guards against deviations of the simulated engine from the protocol that entry
// processes rely on.
func TestProtocol(t *testing.T) {
	s := newScript(t)
	datadriven.RunTest(t, "testdata/protocol", s.run)
}

// Guards against a fault without effect: a test of the serving layer would pass
// without its fault.
func TestFaults(t *testing.T) {
	s := newScript(t)
	datadriven.RunTest(t, "testdata/faults", s.run)
}
