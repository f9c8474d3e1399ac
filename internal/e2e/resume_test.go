package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bilberryhub/internal/standin"
)

// Guards against a long answer that must be begun again when the entry process
// that relayed it is cut off, against tokens that are doubled or skipped, and
// against a stream that another caller can take over (promise 5).
func TestResumeThroughAnotherEntry(t *testing.T) {
	c := newCluster(t, layout{
		domains: 2, entriesPerDomain: 1, enginesPerDomain: 1, coldLimit: 8, timeScale: 0.3,
		model: func(m *standin.ModelSettings) { m.ResumeSeconds = 20 },
	})
	c.order("failure_domain", "d1", true, 1)
	c.eventually("the engine of d1 is out of service", func() bool {
		before := c.engine(0, 0).Stats().Requests
		return c.ask(0, prompt{text: "probe"}).status == http.StatusOK && c.engine(0, 0).Stats().Requests == before
	})
	const events = 200
	first := make(chan answer, 1)
	go func() { first <- c.ask(0, prompt{text: "a long answer", stream: true, output: events}) }()
	c.eventually("the stream runs in d2", func() bool { return c.engine(1, 0).Stats().Running == 1 })
	c.net.isolate("d1", true)
	begun := <-first
	if begun.complete() || begun.code == "" {
		t.Fatalf("the stream was not cut: %.200s", begun.body)
	}
	last := strings.Count(begun.body, "\nid: ") // event 0 has no line before it
	id := begun.header.Get("X-Request-Id")
	resume := func(key string) answer {
		return c.send(1, http.MethodGet, "/v1/streams/"+id, "", map[string]string{
			"Last-Event-ID": fmt.Sprint(last), "Authorization": "Bearer " + key,
		})
	}
	if got := resume("stranger"); got.status != http.StatusUnauthorized {
		t.Errorf("a stranger got %d", got.status)
	}
	rest := resume(testKey)
	if !rest.complete() {
		t.Fatalf("resume after event %d: status %d, code %q: %.300s", last, rest.status, rest.code, rest.body)
	}
	for n := 0; n <= last; n++ {
		if !strings.Contains(begun.body, fmt.Sprintf("id: %d\n", n)) {
			t.Fatalf("event %d is missing in the first part", n)
		}
	}
	for n := last + 1; n < events; n++ {
		if strings.Count(rest.body, fmt.Sprintf("id: %d\n", n)) != 1 {
			t.Fatalf("event %d is doubled or missing in the second part", n)
		}
	}
	if strings.Contains(rest.body, fmt.Sprintf("id: %d\n", last)) {
		t.Errorf("event %d came twice", last)
	}
	c.eventually("memory is given back", func() bool { return c.reserved() == 0 })
}
