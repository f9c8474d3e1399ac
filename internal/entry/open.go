package entry

import "sync"

// openList holds the started dispatches by dispatcher.
type openList struct {
	mu   sync.Mutex
	rows map[string]map[string]bool
}

func newOpenList() *openList { return &openList{rows: map[string]map[string]bool{}} }

func (l *openList) add(dispatcher, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := l.rows[dispatcher]
	if ids == nil {
		ids = map[string]bool{}
		l.rows[dispatcher] = ids
	}
	ids[id] = true
}

// remove keeps the row of the dispatcher, so that it still gets the empty list
// that tells it of ends it has missed.
func (l *openList) remove(dispatcher, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rows[dispatcher], id)
}

// list returns the dispatches open at a dispatcher; nil if there never were any.
func (l *openList) list(dispatcher string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	row, ok := l.rows[dispatcher]
	if !ok {
		return nil
	}
	ids := make([]string, 0, len(row))
	for id := range row {
		ids = append(ids, id)
	}
	return ids
}
