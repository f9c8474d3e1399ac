package entry

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"bilberryhub/internal/config"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/refusal"
)

// Paths of the OpenAI protocol.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
)

// Headers of callers.
const (
	deadlineHeader    = "X-Deadline-Ms"
	urgencyHeader     = "X-Urgency"
	idempotencyHeader = "Idempotency-Key"
	requestIDHeader   = "X-Request-Id"
	configIndexHeader = "X-Config-Index"
	configStaleHeader = "X-Config-Stale-Ms"
	replayHeader      = "X-Idempotent-Replay"
)

const (
	// maxKeyBytes bounds an idempotency key, and with it a record in the log.
	maxKeyBytes = 255
	// maxDeadline bounds the deadline a caller may ask for.
	maxDeadline = 24 * time.Hour
)

func isModelPath(path string) bool { return path == chatPath || path == completionPath }

// admit checks a request against the configuration in force and reads its
// body. Nothing has been sent to a backend server when it returns an error.
func (s *Server) admit(w http.ResponseWriter, hr *http.Request, v *config.Version, id string) (*request, *refusal.Error) {
	account, ref := authenticate(hr, v.Manifest)
	if ref != nil {
		return nil, ref
	}
	r := &request{
		id: id, version: v, account: account, method: hr.Method, path: hr.URL.RequestURI(),
		header: hr.Header, arrived: time.Now(),
	}
	if isModelPath(hr.URL.Path) {
		ref = s.admitModel(w, hr, r)
	} else {
		ref = s.admitPlain(w, hr, r)
	}
	if ref != nil {
		return nil, ref
	}
	r.idempotent = r.service.IsIdempotent(hr.Method, hr.URL.Path)
	return r, r.readKey(hr)
}

func authenticate(hr *http.Request, m *manifest.Manifest) (*manifest.Account, *refusal.Error) {
	bearer, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	if !ok || bearer == "" {
		return nil, refusal.New(refusal.Unauthenticated, "header Authorization carries no bearer key")
	}
	account, ok := m.AccountByKey(bearer)
	if !ok {
		return nil, refusal.New(refusal.Unauthenticated, "unknown key")
	}
	return account, nil
}

func (s *Server) admitModel(w http.ResponseWriter, hr *http.Request, r *request) *refusal.Error {
	if hr.Method != http.MethodPost {
		return refusal.New(refusal.MethodNotAllowed, "completions take POST")
	}
	var ref *refusal.Error
	if r.body, ref = readBody(w, hr, largestBody(r)); ref != nil {
		return ref
	}
	if r.model, ref = parseModelCall(hr.URL.Path, r.body); ref != nil {
		return ref
	}
	service, ok := r.version.Manifest.ServiceByModel(r.model.model)
	if !ok {
		return refusal.New(refusal.UnknownModel, "no service has model "+strconv.Quote(r.model.model))
	}
	if int64(len(r.body)) > service.MaxBodyBytes {
		return tooLarge(service.MaxBodyBytes)
	}
	if s.settings.AcceptPromptTokensHeader {
		if ref := r.model.overridePromptTokens(hr.Header); ref != nil {
			return ref
		}
	}
	if r.model.maxTokens == 0 || r.model.maxTokens > service.MaxOutputTokens {
		r.model.maxTokens = service.MaxOutputTokens
	}
	return r.setService(hr, service)
}

// largestBody returns the body limit before the service is known.
func largestBody(r *request) int64 {
	limit := int64(1)
	for i := range r.version.Manifest.Services {
		if s := &r.version.Manifest.Services[i]; s.Kind == manifest.KindModel {
			limit = max(limit, s.MaxBodyBytes)
		}
	}
	return limit
}

func (s *Server) admitPlain(w http.ResponseWriter, hr *http.Request, r *request) *refusal.Error {
	service, ok := r.version.Manifest.ServiceByPath(hr.URL.Path)
	if !ok {
		return refusal.New(refusal.UnknownPath, "no service has path "+strconv.Quote(hr.URL.Path))
	}
	if ref := r.setService(hr, service); ref != nil {
		return ref
	}
	var ref *refusal.Error
	r.body, ref = readBody(w, hr, service.MaxBodyBytes)
	return ref
}

// setService checks the grant and reads urgency and deadline.
func (r *request) setService(hr *http.Request, service *manifest.Service) *refusal.Error {
	r.service = service
	grant, ok := r.version.Manifest.Grant(r.account.Name, service.Name)
	if !ok {
		return refusal.New(refusal.NotGranted, "account "+r.account.Name+" may not use service "+service.Name)
	}
	name := hr.Header.Get(urgencyHeader)
	if name == "" && len(grant.Urgencies) > 0 {
		name = grant.Urgencies[0]
	}
	if !grant.Allows(name) {
		return refusal.New(refusal.NotGranted, "account "+r.account.Name+" may not use urgency "+strconv.Quote(name))
	}
	urgency, ok := r.version.Manifest.Urgency(name)
	if !ok {
		return refusal.New(refusal.BadHeader, urgencyHeader+" names no urgency: "+strconv.Quote(name))
	}
	r.urgency = urgency
	return r.readDeadline(hr)
}

func (r *request) readDeadline(hr *http.Request) *refusal.Error {
	allowed := time.Duration(r.service.DeadlineMs) * time.Millisecond
	if text := hr.Header.Get(deadlineHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return refusal.New(refusal.BadHeader, deadlineHeader+" is not a number of ms from 1 to 86400000: "+strconv.Quote(text))
		}
		allowed = min(allowed, time.Duration(ms)*time.Millisecond)
	}
	r.deadline = r.arrived.Add(allowed)
	return nil
}

func (r *request) readKey(hr *http.Request) *refusal.Error {
	r.key = hr.Header.Get(idempotencyHeader)
	if len(r.key) > maxKeyBytes {
		return refusal.New(refusal.BadHeader, idempotencyHeader+" is longer than 255 bytes")
	}
	h := sha256.New()
	for _, part := range []string{r.service.Name, hr.Method, hr.URL.RequestURI()} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	h.Sum(r.fingerprint[:0])
	return nil
}

// maxBodyGuess bounds what is allocated for a body before it arrives.
const maxBodyGuess = 1 << 20

// bodyReadTimeout bounds the time a caller takes to send its body.
const bodyReadTimeout = 60 * time.Second

func readBody(w http.ResponseWriter, hr *http.Request, limit int64) ([]byte, *refusal.Error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	// A buffer of the stated size avoids the copies and the slack of a growing one.
	buf := bytes.NewBuffer(make([]byte, 0, min(max(hr.ContentLength, 0), limit, maxBodyGuess)+bytes.MinRead))
	_, err := buf.ReadFrom(http.MaxBytesReader(w, hr.Body, limit))
	body := buf.Bytes()
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "read body: "+err.Error())
	}
	return body, nil
}

func tooLarge(limit int64) *refusal.Error {
	return refusal.New(refusal.BodyTooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

func newRequestID() string { return uuid.NewString() }
