// Package refusal defines the errors that callers see.
//
// Each refusal has a stable code, an HTTP status and a statement of whether the
// request was run. "no" is a promise: it may only be used while nothing has
// been sent to a backend server. Every other failure says "unknown", unless
// the outcome is known from a record.
package refusal

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Run says whether the refused request was run.
type Run string

// The values of Run.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)

// Code is a stable identifier of a refusal.
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

// Error is a refusal. It implements error.
type Error struct {
	Code    Code
	Message string
	Run     Run
	// RetryAfter is the time after which a retry may succeed; zero if none.
	RetryAfter time.Duration
}

// New returns a refusal of a request that was not run.
func New(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Run: RunNo}
}

// Unknown returns a failure whose outcome is not known.
func Unknown(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Run: RunUnknown}
}

// After sets the time after which a retry may succeed.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Status returns the HTTP status of the refusal.
func (e *Error) Status() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns err as a refusal. Errors of other types become BackendFailed
// with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknown(BackendFailed, err.Error())
}

type document struct {
	Error body `json:"error"`
}

type body struct {
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	Run       Run    `json:"run"`
	RequestID string `json:"request_id,omitempty"`
}

// JSON returns the body that callers receive.
func (e *Error) JSON(requestID string) []byte {
	b, err := json.Marshal(document{Error: body{Code: e.Code, Message: e.Message, Run: e.Run, RequestID: requestID}})
	if err != nil {
		return []byte(`{"error":{"code":"backend_failed","message":"encoding failed","run":"unknown"}}`)
	}
	return b
}

// Write writes the refusal as the whole answer.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		// Retry-After has whole seconds; rounding up avoids a retry that is too early.
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(append(e.JSON(requestID), '\n'))
}
