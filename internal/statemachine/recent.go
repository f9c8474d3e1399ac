package statemachine

// fifoMap maps ids to values, and evicts the oldest id when its limit is exceeded.
// The empty id is never stored.
type fifoMap[V any] struct {
	limit  int
	values map[string]V
	// ring is a ring buffer of the ids in use. Once it is full, next is the
	// position of the oldest one.
	ring []string
	next int
}

func newFIFOMap[V any](limit int) *fifoMap[V] {
	return &fifoMap[V]{limit: limit, values: map[string]V{}}
}

func (r *fifoMap[V]) get(id string) (V, bool) {
	v, ok := r.values[id]
	return v, ok
}

// add stores a value, unless the id is already stored. The age of an id counts
// from the first add.
func (r *fifoMap[V]) add(id string, v V) {
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

// ids returns the stored ids, oldest first.
func (r *fifoMap[V]) ids() []string {
	out := make([]string, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}
