package entry

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"bilberryhub/internal/config"
	"bilberryhub/internal/manifest"
	"bilberryhub/internal/membudget"
	"bilberryhub/internal/refusal"
)

// URL paths of the OpenAI protocol.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
)

// Headers of requests from callers and of the responses to them.
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
	// maxIdempotencyKeyBytes bounds an idempotency key and thereby the size of a
	// record in the log.
	maxIdempotencyKeyBytes = 255
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = 24 * time.Hour
)

func isModelPath(path string) bool { return path == chatPath || path == completionPath }

// admit checks the request of an account against configuration v and reads its body
// within the reservation held. It sends nothing to a backend server.
func (s *Server) admit(w http.ResponseWriter, hr *http.Request, v *config.Version, id string, account *manifest.Account,
	held *membudget.Reservation,
) (*request, *refusal.Error) {
	r := &request{
		id: id, version: v, account: account, method: hr.Method, path: hr.URL.RequestURI(),
		header: hr.Header, held: held, arrived: time.Now(),
	}
	var refErr *refusal.Error
	if isModelPath(hr.URL.Path) {
		refErr = s.admitModel(w, hr, r)
	} else {
		refErr = s.admitPlain(w, hr, r)
	}
	if refErr != nil {
		return nil, refErr
	}
	r.idempotent = r.service.IsIdempotent(hr.Method, hr.URL.Path)
	return r, r.readIdempotencyKey(hr)
}

// authenticate returns the account of the bearer key of a request.
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

// admitModel reads and checks a completion request and finds its service by model.
func (s *Server) admitModel(w http.ResponseWriter, hr *http.Request, r *request) *refusal.Error {
	if hr.Method != http.MethodPost {
		return refusal.New(refusal.MethodNotAllowed, "completions take POST")
	}
	var refErr *refusal.Error
	if r.body, refErr = s.readBody(w, hr, r, maxModelBodyBytes(r)); refErr != nil {
		return refErr
	}
	if r.model, refErr = s.parseBody(hr.URL.Path, r.body); refErr != nil {
		return refErr
	}
	service, ok := r.version.Manifest.ServiceByModel(r.model.model)
	if !ok {
		return refusal.New(refusal.UnknownModel, "no service has model "+strconv.Quote(r.model.model))
	}
	if int64(len(r.body)) > service.MaxBodyBytes {
		return bodyTooLarge(service.MaxBodyBytes)
	}
	if s.settings.AcceptPromptTokensHeader {
		if refErr := r.model.overridePromptTokens(hr.Header); refErr != nil {
			return refErr
		}
	}
	if r.model.maxTokens == 0 || r.model.maxTokens > service.MaxOutputTokens {
		r.model.maxTokens = service.MaxOutputTokens
	}
	return r.setService(hr, service)
}

// maxParallelValues is the number of JSON objects and fields from which on a body is decoded
// while no other such body is. An empty message takes 3 bytes of a body, and some 100 while it
// is decoded.
const maxParallelValues = 4096

// parseBody is parseModelRequest with a bound on the memory that decoding takes.
func (s *Server) parseBody(path string, body []byte) (*modelRequest, *refusal.Error) {
	if bytes.Count(body, []byte("{"))+bytes.Count(body, []byte(`":`)) > maxParallelValues {
		s.decoding.Lock()
		defer s.decoding.Unlock()
	}
	return parseModelRequest(path, body)
}

// maxModelBodyBytes returns the largest body limit of all model services, which
// applies until the body has been read and the service is known.
func maxModelBodyBytes(r *request) int64 {
	limit := int64(1)
	for i := range r.version.Manifest.Services {
		if s := &r.version.Manifest.Services[i]; s.Kind == manifest.KindModel {
			limit = max(limit, s.MaxBodyBytes)
		}
	}
	return limit
}

// admitPlain finds the service of a request by path and reads the body.
func (s *Server) admitPlain(w http.ResponseWriter, hr *http.Request, r *request) *refusal.Error {
	service, ok := r.version.Manifest.ServiceByPath(hr.URL.Path)
	if !ok {
		return refusal.New(refusal.UnknownPath, "no service has path "+strconv.Quote(hr.URL.Path))
	}
	if refErr := r.setService(hr, service); refErr != nil {
		return refErr
	}
	var refErr *refusal.Error
	r.body, refErr = s.readBody(w, hr, r, service.MaxBodyBytes)
	return refErr
}

// setService sets the service of r, checks that the account has a grant for it and
// reads the urgency and the deadline.
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

// readDeadline sets the deadline of r to that of its service or to the earlier one
// that the caller requests in a header.
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

// readIdempotencyKey sets the idempotency key and the fingerprint of r. The fingerprint
// is a hash of service, method, URI and body.
func (r *request) readIdempotencyKey(hr *http.Request) *refusal.Error {
	r.key = hr.Header.Get(idempotencyHeader)
	if len(r.key) > maxIdempotencyKeyBytes {
		return refusal.New(refusal.BadHeader, idempotencyHeader+" is longer than 255 bytes")
	}
	if !utf8.ValidString(r.key) {
		return refusal.New(refusal.BadHeader, idempotencyHeader+" is not UTF-8")
	}
	h := sha256.New()
	for _, part := range []string{r.service.Name, hr.Method, hr.URL.RequestURI()} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.body)
	h.Sum(r.fingerprint[:0])
	if r.model != nil {
		// The fields of the request hold the body once more.
		r.body = nil
	}
	return nil
}

func bodyTooLarge(limit int64) *refusal.Error {
	return refusal.New(refusal.BodyTooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

func newRequestID() string { return uuid.NewString() }
