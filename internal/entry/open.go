package entry

import "sync"

// openDispatches holds the ids of the open dispatches of this process by dispatcher.
// It is safe for concurrent use.
type openDispatches struct {
	mu           sync.Mutex
	byDispatcher map[string]map[string]bool
}

func newOpenDispatches() *openDispatches {
	return &openDispatches{byDispatcher: map[string]map[string]bool{}}
}

func (o *openDispatches) add(dispatcher, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := o.byDispatcher[dispatcher]
	if ids == nil {
		ids = map[string]bool{}
		o.byDispatcher[dispatcher] = ids
	}
	ids[id] = true
}

// remove removes a dispatch. It keeps the entry of the dispatcher, so that the
// dispatcher still receives an empty list, from which it detects dispatches whose
// end it has missed.
func (o *openDispatches) remove(dispatcher, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byDispatcher[dispatcher], id)
}

// list returns the ids of the open dispatches of a dispatcher, or nil if there have
// never been any.
func (o *openDispatches) list(dispatcher string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	dispatches, ok := o.byDispatcher[dispatcher]
	if !ok {
		return nil
	}
	ids := make([]string, 0, len(dispatches))
	for id := range dispatches {
		ids = append(ids, id)
	}
	return ids
}
