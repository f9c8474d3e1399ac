// Package explain defines the document that tells where a request would go and why. A
// gateway serves it at its admin address, and bilberryctl prints it.
//
// Times are in ms and costs are expected losses of value: in plain requests for model
// requests, and in loads of one request per slot for others.
package explain

// Path is the path at the admin address of a gateway.
const Path = "/explain"

// Query parameters of Path. Only ParamRoute is required.
const (
	ParamRoute        = "route"
	ParamPromptTokens = "prompt-tokens"
	ParamOutputTokens = "output-tokens"
	ParamAccount      = "account"
)

// Document explains the choice for a request at one gateway.
type Document struct {
	Gateway       string `json:"gateway"`
	FailureDomain string `json:"failure_domain"`
	Route         string `json:"route"`
	Account       string `json:"account,omitempty"`
	// OutputTokens is what the gateway assumes if none were given.
	PromptTokens int64   `json:"prompt_tokens"`
	OutputTokens int64   `json:"output_tokens"`
	ObjectiveMs  float64 `json:"objective_ms"`
	ConfigIndex  uint64  `json:"config_index"`
	ConfigAgeMs  float64 `json:"config_age_ms"`
	// NotReady is why the gateway reports that it is not ready, if it does. It may refuse
	// requests before it chooses.
	NotReady string `json:"not_ready,omitempty"`
	// Gateways is the number of live gateways, including this one.
	Gateways   int        `json:"gateways"`
	LoadShares LoadShares `json:"load_shares"`
	// Services are those among which the route draws.
	Services []Service `json:"services"`
}

// LoadShares tells how recent the load shares of the other gateways are.
type LoadShares struct {
	// Count is the number of gateways whose load share is used.
	Count    int     `json:"count"`
	NewestMs float64 `json:"newest_ms"`
	OldestMs float64 `json:"oldest_ms"`
}

// Service explains the choice among the backend servers of one service. One of Choice,
// Deferral and Refusal is set.
type Service struct {
	Service string `json:"service"`
	// Share is the share of the route's requests that go to the service.
	Share float64 `json:"share"`
	// ByEngineModel is set if engines are compared by predicted times, and not by their
	// number of open requests.
	ByEngineModel bool `json:"by_engine_model"`
	// RandomCost is the largest random part of a cost, which decides between equal ones.
	// It is not part of the costs of the candidates.
	RandomCost float64     `json:"random_cost,omitempty"`
	Candidates []Candidate `json:"candidates"`
	Choice     *Choice     `json:"choice,omitempty"`
	Deferral   *Deferral   `json:"deferral,omitempty"`
	Refusal    *Refusal    `json:"refusal,omitempty"`
}

// Candidate is what a gateway knows of one backend server of the service.
type Candidate struct {
	BackendServer string `json:"backend_server"`
	FailureDomain string `json:"failure_domain"`
	// Excluded is why the backend server is not chosen, whatever it costs; empty if it was
	// compared with others.
	Excluded     string `json:"excluded,omitempty"`
	Slots        int    `json:"slots"`
	OpenRequests int    `json:"open_requests"`
	// BacklogMs is the remaining prefill time and MemoryTokens the KV memory that the open
	// requests may come to need; both are 0 without an engine model.
	BacklogMs    float64 `json:"backlog_ms"`
	MemoryTokens float64 `json:"memory_tokens"`
	// Gone is set if it drains or has left according to its announcements, Leaving if it
	// said so in a response.
	Gone    bool `json:"gone,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// PausedMs is the rest of a pause that it asked for.
	PausedMs float64 `json:"paused_ms,omitempty"`
	// Limited is set if it has named a limit of requests in a second.
	Limited bool `json:"limited,omitempty"`
	Cold    bool `json:"cold,omitempty"`
	// Spared is set if it is used only if others are busy, after a limit or a pause.
	Spared bool `json:"spared,omitempty"`
	// Unreachable is set if its failure domain is, Dead if it refused a connection after
	// its last announcement, Avoided after failures or missed announcements.
	Unreachable bool `json:"unreachable,omitempty"`
	Dead        bool `json:"dead,omitempty"`
	Avoided     bool `json:"avoided,omitempty"`
	// FailureShare is the share of requests that are expected to fail, and Slowness the
	// factor on predicted times.
	FailureShare float64 `json:"failure_share"`
	Slowness     float64 `json:"slowness"`
	// AnnouncementAgeMs is the age of its last announcement.
	AnnouncementAgeMs float64 `json:"announcement_age_ms"`
	// LoadShareAgeMs is the age of the newest load share, or summary of its failure domain,
	// that tells of work there; nil if none does.
	LoadShareAgeMs *float64 `json:"load_share_age_ms"`
	// FirstEventMs is the predicted time to the first event there, with the wait for a
	// slot; 0 without an engine model.
	FirstEventMs float64 `json:"first_event_ms,omitempty"`
	// NoRoom is set if its queue or its memory has no room for the request. It may still
	// prefill a part of the prompt.
	NoRoom bool `json:"no_room,omitempty"`
	// Cost is the sum of CostParts. Both are nil if the backend server is excluded.
	Cost      *float64           `json:"cost,omitempty"`
	CostParts map[string]float64 `json:"cost_parts,omitempty"`
}

// Choice is where the request would go.
type Choice struct {
	BackendServer string `json:"backend_server"`
	// Helpers are the engines that prefill parts of the prompt. The first Holders of them
	// hold HeldTokens of its KV memory each.
	Helpers    []string `json:"helpers,omitempty"`
	Holders    int      `json:"holders,omitempty"`
	HeldTokens float64  `json:"held_tokens,omitempty"`
	// FirstEventMs is the predicted time to the first event; 0 without an engine model.
	FirstEventMs float64 `json:"first_event_ms,omitempty"`
	// Loss is the predicted loss of value, of this request and of others.
	Loss float64 `json:"loss,omitempty"`
}

// Deferral tells that the request would wait, and be placed again after each wait.
type Deferral struct {
	Reason string  `json:"reason"`
	WaitMs float64 `json:"wait_ms"`
	// LongestMs is the time after which it is deferred no more.
	LongestMs float64 `json:"longest_ms"`
}

// Refusal is the response to a request that would not be sent.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMs is partly random, so that callers don't return together.
	RetryAfterMs float64 `json:"retry_after_ms"`
	// FirstEventMs is the predicted time to the first event at the best engine, if the
	// refusal is because of it.
	FirstEventMs float64 `json:"first_event_ms,omitempty"`
}

// Error is the document of a response with another status than 200.
type Error struct {
	Error string `json:"error"`
}
