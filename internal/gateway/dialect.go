package gateway

import (
	"net/http"
	"time"
)

// CallerRequest is what a caller says of its request.
type CallerRequest struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// WaitFor is how long the caller waits; 0 means that it does not say.
	WaitFor time.Duration
	// PromptTokens and OutputTokens are 0 for requests that need no engine.
	// OutputTokens is the most that the answer may have.
	PromptTokens, OutputTokens int64
	// ExpectedOutputTokens is the caller's estimate of the answer's length, right at
	// the median and often far off; 0 if there is none.
	ExpectedOutputTokens int64
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
}

// Dispatch is what a backend server is told beside the caller's own request.
type Dispatch struct {
	BackendServer string
	Account       string
	WaitFor       time.Duration
	// Urgency orders the requests at a backend server, 0 first; negative means
	// that none is stated.
	Urgency int
	// LastEvent continues a stream behind this event.
	LastEvent string
	// Helpers are the backend servers that read parts.
	Helpers []Helper
}

// Helper is a backend server that reads a part of a prompt.
type Helper struct {
	Address string
	// Ticket names memory that is reserved there; empty if there is none.
	Ticket string
}

// AnswerInfo is what the head of an answer says.
type AnswerInfo struct {
	// NotRun is set where the backend server states that it has not run and will
	// not run the request.
	NotRun bool
	// AtFault is the id or address of another backend server at which it failed.
	AtFault string
}

// Dialect translates between HTTP messages and the types above. It is the only
// part of a gateway that knows the names on the wire.
type Dialect interface {
	// DecodeCaller reads the head of a caller's request. An error makes it a bad
	// request.
	DecodeCaller(r *http.Request) (CallerRequest, error)
	// EncodeDispatch returns the head for the backend server: the caller's, less
	// what concerns the connection or is not the caller's to say, and with what
	// the dispatch adds.
	EncodeDispatch(r *http.Request, c CallerRequest, d Dispatch) http.Header
	// Mine reports whether an answer belongs to the request with the id.
	Mine(h http.Header, id string) bool
	DecodeAnswer(status int, h http.Header) AnswerInfo
	// AnswerHeader returns the head for the caller of an answer that is passed on.
	AnswerHeader(h http.Header) http.Header
	// EncodeRefusal adds what a caller expects of a refusal by the gateway.
	EncodeRefusal(h http.Header, id string)
	// ReserveCall and ReleaseCall return the target and body of calls to a backend
	// server that set memory aside and give it back, OrderHeader their head.
	ReserveCall(id string, tokens int64, hold time.Duration) (target string, body []byte)
	ReleaseCall(id string) (target string, body []byte)
	OrderHeader(backendServer string) http.Header
	// ReadyPath is where the balancer asks.
	ReadyPath() string
}
