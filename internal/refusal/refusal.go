// Package refusal defines the errors that callers receive in place of a response.
//
// Each refusal has a stable code, an HTTP status and a statement of whether the
// request was run. "no" is a guarantee: it may only be used as long as nothing has
// been sent to a backend server, or if the backend server has stated that it did not
// run the request. All other failures carry "unknown", unless the outcome has been
// recorded. The package doesn't log or count refusals.
package refusal

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Run states whether the refused request was run.
type Run string

// The values of Run. RunUnknown means that the request may have been run.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)

// Code is the stable identifier of a kind of refusal.
type Code string

// The codes of refusals.
const (
	BadRequest            Code = "bad_request"
	BodyTooLarge          Code = "body_too_large"
	UnknownModel          Code = "unknown_model"
	UnknownPath           Code = "unknown_path"
	MethodNotAllowed      Code = "method_not_allowed"
	BadHeader             Code = "bad_header"
	Unauthenticated       Code = "unauthenticated"
	NotGranted            Code = "not_granted"
	AccountLimit          Code = "account_limit"
	NoCapacity            Code = "no_capacity"
	DeadlineUnreachable   Code = "deadline_unreachable"
	Draining              Code = "draining"
	NoConfig              Code = "no_config"
	NoQuorum              Code = "no_quorum"
	ClaimsFull            Code = "claims_full"
	PromptTooLarge        Code = "prompt_too_large"
	RequestSuspected      Code = "request_suspected"
	IdempotencyKeyReused  Code = "idempotency_key_reused"
	IdempotencyInProgress Code = "idempotency_in_progress"
	DeadlineExceeded      Code = "deadline_exceeded"
	BackendFailed         Code = "backend_failed"
	AnswerMismatch        Code = "answer_mismatch"
	AnswerTruncated       Code = "answer_truncated"
)

var statuses = map[Code]int{
	BadRequest:            http.StatusBadRequest,
	BodyTooLarge:          http.StatusRequestEntityTooLarge,
	UnknownModel:          http.StatusNotFound,
	UnknownPath:           http.StatusNotFound,
	MethodNotAllowed:      http.StatusMethodNotAllowed,
	BadHeader:             http.StatusBadRequest,
	Unauthenticated:       http.StatusUnauthorized,
	NotGranted:            http.StatusForbidden,
	AccountLimit:          http.StatusTooManyRequests,
	NoCapacity:            http.StatusServiceUnavailable,
	DeadlineUnreachable:   http.StatusServiceUnavailable,
	Draining:              http.StatusServiceUnavailable,
	NoConfig:              http.StatusServiceUnavailable,
	NoQuorum:              http.StatusServiceUnavailable,
	ClaimsFull:            http.StatusServiceUnavailable,
	PromptTooLarge:        http.StatusRequestEntityTooLarge,
	RequestSuspected:      http.StatusUnprocessableEntity,
	IdempotencyKeyReused:  http.StatusUnprocessableEntity,
	IdempotencyInProgress: http.StatusConflict,
	DeadlineExceeded:      http.StatusGatewayTimeout,
	BackendFailed:         http.StatusBadGateway,
	AnswerMismatch:        http.StatusBadGateway,
	AnswerTruncated:       http.StatusBadGateway,
}

// Error is a refusal of a request. It implements error.
type Error struct {
	Code    Code
	Message string
	Run     Run
	// RetryAfter is the delay after which a retry may succeed; zero if unspecified.
	RetryAfter time.Duration
}

// New returns a refusal of a request that was not run.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Run: RunNo}
}

// NewUnknown returns the failure of a request that may have been run.
func NewUnknown(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Run: RunUnknown}
}

// WithRetryAfter sets the delay after which a retry may succeed, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Status returns the HTTP status code of the refusal, which is 500 for a code that
// isn't declared here.
func (e *Error) Status() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns the *Error in the chain of err. An error without one becomes
// BackendFailed with RunUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(BackendFailed, err.Error())
}

type errorDocument struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	Run       Run    `json:"run"`
	RequestID string `json:"request_id,omitempty"`
}

// JSON returns the response body that callers receive.
func (e *Error) JSON(requestID string) []byte {
	b, err := json.Marshal(errorDocument{Error: errorBody{Code: e.Code, Message: e.Message, Run: e.Run, RequestID: requestID}})
	if err != nil {
		return []byte(`{"error":{"code":"backend_failed","message":"encoding failed","run":"unknown"}}`)
	}
	return b
}

// Write writes the refusal as the complete response.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		// Retry-After is in whole seconds; rounding up avoids a premature retry.
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(append(e.JSON(requestID), '\n'))
}
