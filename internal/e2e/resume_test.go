package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bilberryhub/internal/standin"
)

// TestResumeThroughAnotherEntry guards against a long response that has to be
// generated again after the entry process that relayed it was partitioned,
// against duplicated or skipped tokens, and against a stream that another caller
// can resume (promise 5).
func TestResumeThroughAnotherEntry(t *testing.T) {
	c := newCluster(t, layout{
		domains: 2, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 8, timeScale: 0.3,
		model: func(m *standin.ModelSettings) { m.ResumeSeconds = 20 },
	})
	c.proposeOrder("failure_domain", "d1", true, 1)
	c.eventually("the engine of d1 is out of service", func() bool {
		before := c.engine(0, 0).Stats().Requests
		return c.sendPrompt(0, prompt{text: "probe"}).status == http.StatusOK && c.engine(0, 0).Stats().Requests == before
	})
	const events = 200
	firstPart := make(chan response, 1)
	go func() { firstPart <- c.sendPrompt(0, prompt{text: "a long answer", stream: true, output: events}) }()
	c.eventually("the stream runs in d2", func() bool { return c.engine(1, 0).Stats().Running == 1 })
	c.net.setIsolated("d1", true)
	interrupted := <-firstPart
	if interrupted.isComplete() || interrupted.code == "" {
		t.Fatalf("the stream was not interrupted: %.200s", interrupted.body)
	}
	lastEvent := strings.Count(interrupted.body, "\nid: ") // event 0 has no preceding line
	id := interrupted.header.Get("X-Request-Id")
	resume := func(key string) response {
		return c.send(1, http.MethodGet, "/v1/streams/"+id, "", map[string]string{
			"Last-Event-ID": fmt.Sprint(lastEvent), "Authorization": "Bearer " + key,
		})
	}
	if got := resume("stranger"); got.status != http.StatusUnauthorized {
		t.Errorf("resume with an unknown key: status %d", got.status)
	}
	secondPart := resume(testKey)
	if !secondPart.isComplete() {
		t.Fatalf("resume after event %d: status %d, code %q: %.300s", lastEvent, secondPart.status, secondPart.code, secondPart.body)
	}
	for n := 0; n <= lastEvent; n++ {
		if !strings.Contains(interrupted.body, fmt.Sprintf("id: %d\n", n)) {
			t.Fatalf("event %d is missing in the first part", n)
		}
	}
	for n := lastEvent + 1; n < events; n++ {
		if strings.Count(secondPart.body, fmt.Sprintf("id: %d\n", n)) != 1 {
			t.Fatalf("event %d is duplicated or missing in the second part", n)
		}
	}
	if strings.Contains(secondPart.body, fmt.Sprintf("id: %d\n", lastEvent)) {
		t.Errorf("event %d was sent in both parts", lastEvent)
	}
	c.eventually("memory is released", func() bool { return c.reservedTokens() == 0 })
}
