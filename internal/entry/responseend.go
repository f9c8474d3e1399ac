package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"bilberryhub/internal/backend"
)

// The framing of a response marks the end of a body; it doesn't say that the body is whole.
// A stream is whole with its terminal event (package relay). For other responses, this file
// decides.

// endedEarly reports whether a response that ended in an orderly way with body isn't whole.
// The response of an engine is one JSON document, which shows its own end. A body of a plain
// service that ends with its connection has no other sign than the end of the connection,
// and the kernel ends the connections of a killed process in the same way. So the backend
// server must not have crashed. If it doesn't say, the body counts as whole. A service that
// stops early by itself can't be told from one that is done: it must state a length.
func (a *attempt) endedEarly(ctx context.Context, resp *http.Response, body []byte) bool {
	if a.req.model != nil {
		return !json.Valid(body)
	}
	if !backend.EndsWithConnection(resp) {
		return false
	}
	for range healthChecksAtEnd {
		if health := a.checkHealth(ctx); health != backend.HealthUnknown {
			return health == backend.HealthCrashed
		}
	}
	// After the deadline, the last checks were none.
	return ctx.Err() != nil
}

// healthChecksAtEnd is the number of health checks after which a backend server counts as
// alive that doesn't respond to them, or has no health endpoint.
const healthChecksAtEnd = 3

// checkHealth checks the health of the backend server.
func (a *attempt) checkHealth(ctx context.Context) backend.Health {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	health := a.server.backends.CheckHealth(a.withRoute(ctx), a.member.GetAddress(), a.member.GetBoot())
	a.log.Info("health checked", zap.Stringer("health", health))
	return health
}
