package gateway

import (
	"net/http"
	"time"
)

// CallerRequest holds what a caller states about its request.
type CallerRequest struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// WaitFor is how long the caller waits; 0 if it isn't stated.
	WaitFor time.Duration
	// PromptTokens and OutputTokens are 0 for requests that need no engine.
	// OutputTokens is the maximum length of the response.
	PromptTokens, OutputTokens int64
	// ExpectedOutputTokens is the caller's estimate of the response's length,
	// accurate at the median and often far off; 0 if there is none.
	ExpectedOutputTokens int64
	// LastEvent is the id of the last event that the caller has received, or
	// empty.
	LastEvent string
	// PromptParts are the ids of the parts of the prompt that other requests may
	// share, in order. The last part of a prompt is the request's own and is left
	// out.
	PromptParts []string
}

// Dispatch holds what a gateway adds to the caller's request when it sends it
// to a backend server.
type Dispatch struct {
	BackendServer string
	Account       string
	WaitFor       time.Duration
	// Urgency orders the requests at a backend server, 0 first; negative if
	// none is stated.
	Urgency int
	// LastEvent is the id of the event after which a stream continues.
	LastEvent string
	// Helpers are the backend servers that prefill parts of the prompt.
	Helpers []Helper
}

// Helper is a backend server that prefills a part of a prompt.
type Helper struct {
	Address string
	// ReservationID is the id of a memory reservation there; empty if there is
	// none.
	ReservationID string
}

// ResponseInfo holds what the head of a response states.
type ResponseInfo struct {
	// NotRun is set if the backend server states that it hasn't run the
	// request and won't run it.
	NotRun bool
	// RequestLimit is the number of requests in a second that the backend server
	// takes from all gateways together, if HasRequestLimit is set. It is in force
	// until a response states none.
	RequestLimit    float64
	HasRequestLimit bool
	// Leaving is set if the backend server says that it leaves.
	Leaving bool
	// Pause is how long the backend server wants no more requests from this gateway, from
	// the response on; 0 if it states nothing.
	Pause time.Duration
	// IgnoredNotice is why something that the response states about leaving or a pause is
	// ignored, and empty if nothing is.
	IgnoredNotice string
	// FailedBackend is the id or address of another backend server that caused
	// the failure; empty if none is stated.
	FailedBackend string
}

// Dialect translates between HTTP messages and the types above. Apart from it,
// a gateway doesn't depend on the names of headers and paths.
type Dialect interface {
	// DecodeCaller decodes the head of a caller's request. An error makes it a
	// bad request.
	DecodeCaller(r *http.Request) (CallerRequest, error)
	// EncodeDispatch returns the head for the backend server: the caller's
	// head without hop-by-hop headers and headers that a caller may not set,
	// plus what the dispatch adds.
	EncodeDispatch(r *http.Request, c CallerRequest, d Dispatch) http.Header
	// IsResponseTo reports whether a response belongs to the request with the id.
	IsResponseTo(h http.Header, id string) bool
	DecodeResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the head that the caller gets for a response that is
	// forwarded.
	ResponseHeader(h http.Header) http.Header
	// EncodeRefusal adds the headers that a caller expects of a refusal by the
	// gateway.
	EncodeRefusal(h http.Header, id string)
	// ReserveCall and ReleaseCall return the target and body of calls to a
	// backend server that reserve and release memory, ReservationHeader their
	// head. A reservation expires lease after the call unless it is renewed.
	ReserveCall(id string, tokens int64, lease time.Duration) (target string, body []byte)
	ReleaseCall(id string) (target string, body []byte)
	ReservationHeader(backendServer string) http.Header
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath() string
}
