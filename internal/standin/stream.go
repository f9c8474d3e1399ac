package standin

import (
	"sync"
)

// event is one server-sent event of a stream.
type event struct {
	data []byte
	// text is the text that the event adds to the completion.
	text string
}

// stream is the response to one request as a sequence of events. It keeps all events,
// so that a reader can attach again after any of them. It is safe for concurrent use.
type stream struct {
	mu     sync.Mutex
	events []event
	ended  bool
	// changed is closed at each change and then replaced.
	changed chan struct{}
	readers int
	// attachments counts the calls of attach, so that the timer of the resume
	// period can detect a new one.
	attachments uint64
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// notify wakes up the readers. The caller holds s.mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add appends an event. Events after the end are discarded.
func (s *stream) add(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.events = append(s.events, e)
	s.notify()
}

// end marks the stream as ended, either complete or cancelled.
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

// attach adds a reader.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	s.attachments++
}

// detach removes a reader. It returns the count of attachments and whether no reader
// is left.
func (s *stream) detach() (attachments uint64, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	return s.attachments, s.readers == 0
}

// isIdleSince reports whether no reader is attached and none has attached since the
// count of attachments was as given.
func (s *stream) isIdleSince(attachments uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && s.attachments == attachments
}

// isIdle reports whether no reader is attached.
func (s *stream) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0
}
