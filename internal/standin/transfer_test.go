package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberryhub/internal/openai"

	"go.uber.org/zap"
)

// startEngine starts an engine with the settings in the JSON document input, at a
// time scale of 0.01.
func startEngine(t *testing.T, input string) *Instance {
	t.Helper()
	in := NewInstance(settingsFor(t, "model", input), 0.01, 1, zap.NewNop())
	if err := in.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.Stop)
	return in
}

// prefill sends a completion request with kv_transfer_params and returns the status
// and the response.
func prefill(t *testing.T, in *Instance, prompt string, kv *openai.KVTransfer) (int, *openai.Response) {
	t.Helper()
	body, _ := json.Marshal(&openai.Request{Model: "m", Prompt: prompt, MaxTokens: 3, KVTransferParams: kv})
	resp, err := http.Post("http://"+in.Address()+openai.CompletionPath, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	doc := &openai.Response{}
	if err := json.NewDecoder(resp.Body).Decode(doc); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, doc
}

// eventually polls until the stats meet the condition.
func eventually(t *testing.T, in *Instance, what string, met func(*StatsDocument) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !met(in.Stats()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not reached: %+v", what, in.Stats())
		}
	}
}

// hasNoMemoryReserved reports whether there are neither exports nor reserved memory.
func hasNoMemoryReserved(d *StatsDocument) bool { return d.Exports == 0 && d.ReservedTokens == 0 }

// closeIdle closes idle client connections at the end of the test, for the check for
// leaked goroutines.
func closeIdle(t *testing.T) {
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		peerClient.CloseIdleConnections()
	})
}

// Guards against an import that leaves the memory of the exporter reserved.
func TestImportReleasesExport(t *testing.T) {
	closeIdle(t)
	a, b := startEngine(t, `{"id": "a"}`), startEngine(t, `{"id": "b"}`)
	prompt := strings.Repeat("abcd", 2000)
	_, exported := prefill(t, a, prompt, &openai.KVTransfer{DoRemoteDecode: true})
	if kv := exported.KVTransferParams; kv == nil || !kv.DoRemotePrefill || kv.RemoteEngineID != "a" {
		t.Fatalf("kv_transfer_params of the export: %+v", kv)
	}
	if a.Stats().ReservedTokens == 0 {
		t.Fatal("the export holds no memory")
	}
	_, answer := prefill(t, b, prompt, exported.KVTransferParams)
	if _, ok := openai.CheckResponse(prompt, answer.Choices[0].Text); !ok {
		t.Fatalf("answer %q is not complete", answer.Choices[0].Text)
	}
	eventually(t, a, "export released", hasNoMemoryReserved)
	if n := a.Stats().ExportsExpired; n != 0 {
		t.Fatalf("%d exports expired", n)
	}
}

// Guards against a chain of engines that cannot serve a prompt larger than the memory
// of one engine, or whose members keep their memory reserved afterwards.
func TestChainForLargePrompt(t *testing.T) {
	closeIdle(t)
	const memory = `{"model": {"memory_tokens": 4000}}`
	chain := []*Instance{startEngine(t, memory), startEngine(t, memory), startEngine(t, memory)}
	prompt := strings.Repeat("abcd", 9000)
	if status, _ := prefill(t, chain[0], prompt, nil); status != http.StatusRequestEntityTooLarge {
		t.Fatalf("one engine answers %d to a prompt beyond its memory", status)
	}
	kv := &openai.KVTransfer{}
	var answer *openai.Response
	for i, in := range chain {
		kv.PartTokens, kv.DoRemoteDecode = 3000, i < len(chain)-1
		status, doc := prefill(t, in, prompt, kv)
		if status != http.StatusOK {
			t.Fatalf("member %d answers %d", i, status)
		}
		answer, kv = doc, doc.KVTransferParams
	}
	if _, ok := openai.CheckResponse(prompt, answer.Choices[0].Text); !ok {
		t.Fatalf("answer %q is not complete", answer.Choices[0].Text)
	}
	for _, in := range chain {
		eventually(t, in, "chain released", hasNoMemoryReserved)
	}
}

// Guards against exports that stay reserved when no engine imports them, or when the
// importing engine crashes.
func TestExportExpires(t *testing.T) {
	closeIdle(t)
	a := startEngine(t, `{"model": {"export_seconds": 0.3}}`)
	b := startEngine(t, `{"model": {"export_seconds": 0.3, "restart_seconds": 1000}}`)
	prompt := strings.Repeat("abcd", 2000)
	prefill(t, a, prompt, &openai.KVTransfer{DoRemoteDecode: true})
	eventually(t, a, "unused export expired", func(d *StatsDocument) bool { return hasNoMemoryReserved(d) && d.ExportsExpired == 1 })
	_, part := prefill(t, a, prompt, &openai.KVTransfer{DoRemoteDecode: true, PartTokens: 1000})
	part.KVTransferParams.DoRemoteDecode, part.KVTransferParams.PartTokens = true, 1000
	prefill(t, b, prompt, part.KVTransferParams)
	if _, err := b.SetFaults(func(f *Faults) error { f.Crash = true; return nil }); err != nil {
		t.Fatal(err)
	}
	eventually(t, a, "export of the lost importer expired", hasNoMemoryReserved)
}
