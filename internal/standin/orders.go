package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Order tells an engine to load something or to change its role.
type Order struct {
	FencingNumber uint64 `json:"fencing_number"`
	// Kind is load_model, unload_model, load_adapter, load_version or set_role.
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// orders are the orders that one instance has accepted.
type orders struct {
	checks bool
	stats  *Stats
	// loadTime is how long a load takes, in real time.
	loadTime time.Duration

	mu      sync.Mutex
	highest uint64
	applied []Order
	models  []string
}

// OrdersDocument is the answer of GET /v1/orders.
type OrdersDocument struct {
	HighestFencingNumber uint64   `json:"highest_fencing_number"`
	Applied              []Order  `json:"applied"`
	Models               []string `json:"models"`
}

func (o *orders) handle(w http.ResponseWriter, hr *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, hr.Body, 1<<16)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "bad_json", err.Error())
		return
	}
	o.mu.Lock()
	stale := order.FencingNumber < o.highest
	if stale && o.checks {
		o.mu.Unlock()
		writeError(w, http.StatusConflict, "stale_fencing_number", "a higher fencing number was accepted before")
		return
	}
	if stale {
		o.stats.StaleOrders.Add(1)
	}
	o.highest = max(o.highest, order.FencingNumber)
	o.mu.Unlock()
	if order.Kind == "load_model" {
		select {
		case <-time.After(o.loadTime):
		case <-hr.Context().Done():
			return
		}
	}
	o.apply(order)
	o.list(w, hr)
}

func (o *orders) apply(order Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applied = append(o.applied, order)
	switch order.Kind {
	case "load_model":
		if !slices.Contains(o.models, order.Name) {
			o.models = append(slices.Clone(o.models), order.Name)
		}
	case "unload_model":
		o.models = slices.DeleteFunc(slices.Clone(o.models), func(m string) bool { return m == order.Name })
	}
}

func (o *orders) list(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	doc := OrdersDocument{HighestFencingNumber: o.highest, Applied: slices.Clone(o.applied), Models: o.models}
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, doc)
}

func (o *orders) loaded() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.models
}
