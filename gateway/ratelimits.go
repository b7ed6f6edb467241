package gateway

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/ratelimit"
)

var (
	limitsStatedTotal     = metrics.NewCounter("jacinthplank_gateway_rate_limits_stated_total")
	limitsUnreadableTotal = metrics.NewCounter("jacinthplank_gateway_rate_limits_unreadable_total")
)

// answeredCall is the kind of call whose response states a rate limit.
type answeredCall string

// Kinds of calls to endpoints.
const (
	answeredRequest     answeredCall = "request"
	answeredProbe       answeredCall = "probe"
	answeredReservation answeredCall = "reservation"
)

// observeLimit records what a response states about the request rate of its endpoint.
func (g *Gateway) observeLimit(endpoint string, call answeredCall, reply *forward.Reply) {
	if reply.Status == http.StatusMisdirectedRequest {
		return // from another endpoint at the same address
	}
	statement := g.dialect.RateLimit(reply.Header)
	switch statement.Kind {
	case ratelimit.Limited:
		limitsStatedTotal.Inc()
	case ratelimit.Unreadable:
		limitsUnreadableTotal.Inc()
		g.logLimit("endpoint states an unreadable rate limit", ratelimit.Record{Endpoint: endpoint}, call)
	case ratelimit.Unlimited:
		// Endpoints need not state their limits to probes and reservations.
		if call != answeredRequest {
			return
		}
	}
	if r, changed := g.limits.Observe(endpoint, statement, reply.SentAt, time.Now()); changed {
		g.logLimit("endpoint rate limit", r, call)
	}
}

// logLimit logs a change of a rate limit. An endpoint may state another value with each
// response, so the lines count towards the limit of request lines.
func (g *Gateway) logLimit(message string, r ratelimit.Record, call answeredCall) {
	if !g.logs.AllowRequestLine(time.Now()) {
		return
	}
	g.log.Info(message, "step", "gateway.limit", "endpoint", r.Endpoint, "limited", r.Limited, "per_second", r.PerSecond,
		"call", string(call), "limited_endpoints", g.limits.LimitedCount())
}
