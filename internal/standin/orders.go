package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Order instructs an engine to load or unload something or to change its role.
type Order struct {
	FencingNumber uint64 `json:"fencing_number"`
	// Kind is load_model, unload_model, load_adapter, load_version or set_role.
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// orders are the orders that one instance has accepted, and the models that it has
// loaded as a result. With checksFencing, orders with a fencing number below the
// highest accepted one are rejected; otherwise they are applied and counted.
type orders struct {
	checksFencing bool
	stats         *Stats
	// loadDuration is how long a load takes, in real time.
	loadDuration time.Duration

	mu                   sync.Mutex
	highestFencingNumber uint64
	applied              []Order
	models               []string
}

// OrdersDocument is the response of GET and POST /v1/orders.
type OrdersDocument struct {
	HighestFencingNumber uint64   `json:"highest_fencing_number"`
	Applied              []Order  `json:"applied"`
	Models               []string `json:"models"`
}

// handle accepts one order and applies it; load_model takes loadDuration.
func (o *orders) handle(w http.ResponseWriter, hr *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, hr.Body, 1<<16)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "bad_json", err.Error())
		return
	}
	o.mu.Lock()
	stale := order.FencingNumber < o.highestFencingNumber
	if stale && o.checksFencing {
		o.mu.Unlock()
		writeError(w, http.StatusConflict, "stale_fencing_number", "a higher fencing number was accepted before")
		return
	}
	if stale {
		o.stats.StaleOrders.Add(1)
	}
	o.highestFencingNumber = max(o.highestFencingNumber, order.FencingNumber)
	o.mu.Unlock()
	if order.Kind == "load_model" {
		select {
		case <-time.After(o.loadDuration):
		case <-hr.Context().Done():
			return
		}
	}
	o.apply(order)
	o.list(w, hr)
}

// apply records an order and updates the loaded models.
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

// list writes the accepted orders.
func (o *orders) list(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	doc := OrdersDocument{HighestFencingNumber: o.highestFencingNumber, Applied: slices.Clone(o.applied), Models: o.models}
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, doc)
}

// loadedModels returns the loaded models. The slice must not be changed.
func (o *orders) loadedModels() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.models
}
