package statemachine

// recent maps the latest ids to values and forgets the oldest ones beyond its
// limit. The empty id is never kept.
type recent[V any] struct {
	limit  int
	values map[string]V
	// ring holds the ids in use; next is the oldest one once it is full.
	ring []string
	next int
}

func newRecent[V any](limit int) *recent[V] {
	return &recent[V]{limit: limit, values: map[string]V{}}
}

func (r *recent[V]) get(id string) (V, bool) {
	v, ok := r.values[id]
	return v, ok
}

func (r *recent[V]) add(id string, v V) {
	if id == "" || r.limit == 0 {
		return
	}
	if _, ok := r.values[id]; ok {
		return
	}
	if len(r.ring) < r.limit {
		r.ring = append(r.ring, id)
	} else {
		delete(r.values, r.ring[r.next])
		r.ring[r.next] = id
		r.next = (r.next + 1) % r.limit
	}
	r.values[id] = v
}

// ids returns the ids in use, oldest first.
func (r *recent[V]) ids() []string {
	out := make([]string, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}
