package standin

import (
	"sync"
)

// event is one server-sent event of a stream.
type event struct {
	data []byte
	// text is what the event adds to the answer.
	text string
}

// stream is the answer of one request. It keeps its events, so that readers can
// attach again behind any of them.
type stream struct {
	mu     sync.Mutex
	events []event
	ended  bool
	// changed is closed at each change and then replaced.
	changed chan struct{}
	readers int
	// attached counts attachments; it tells a grace timer of a new one.
	attached uint64
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) add(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.events = append(s.events, e)
	s.notify()
}

// end marks the stream as complete or abandoned.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		s.notify()
	}
}

// read returns the events from position from, whether the stream has ended, and
// a channel that is closed at the next change.
func (s *stream) read(from int) (events []event, ended bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.events) {
		events = s.events[from:]
	}
	return events, s.ended, s.changed
}

func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	s.attached++
}

// detach returns the attachment count and whether no reader is left.
func (s *stream) detach() (attached uint64, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	return s.attached, s.readers == 0
}

// unattended tells whether nobody has attached since the given count.
func (s *stream) unattended(attached uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && s.attached == attached
}

// idle tells whether nobody reads the stream.
func (s *stream) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0
}
