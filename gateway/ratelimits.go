package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/ratelimit"
)

var (
	limitsStatedTotal     = metrics.NewCounter("jacinthplank_gateway_rate_limits_stated_total")
	permitsDeniedTotal    = metrics.NewCounter("jacinthplank_gateway_permits_denied_total")
	permitsFailedTotal    = metrics.NewCounter("jacinthplank_gateway_permits_failed_total")
	limitsUnreadableTotal = metrics.NewCounter("jacinthplank_gateway_rate_limits_unreadable_total")
	waitsStatedTotal      = metrics.NewCounter("jacinthplank_gateway_waits_stated_total")
	leavingStatedTotal    = metrics.NewCounter("jacinthplank_gateway_leaving_stated_total")
)

// answeredCall is the kind of call whose response states a rate limit.
type answeredCall string

// Kinds of calls to endpoints.
const (
	answeredRequest     answeredCall = "request"
	answeredProbe       answeredCall = "probe"
	answeredReservation answeredCall = "reservation"
)

// observe records what a response states about the requests that its endpoint takes.
func (g *Gateway) observe(endpoint announce.Run, call answeredCall, reply *forward.Reply) {
	if reply.Status == http.StatusMisdirectedRequest {
		return // from another endpoint at the same address
	}
	statement := g.dialect.Statement(reply.Status, reply.Header)
	if statement.Leaving && g.mesh.MarkLeaving(endpoint) {
		leavingStatedTotal.Inc()
	}
	g.observeLimit(endpoint.ID, call, statement, reply.SentAt)
	if statement.HasCold {
		g.observeCold(endpoint, statement.ColdLeft, reply.SentAt)
	}
}

// observeLimit records a statement about an endpoint's request rate or wait.
func (g *Gateway) observeLimit(endpoint string, call answeredCall, statement ratelimit.Statement, sentAt time.Time) {
	switch statement.Kind {
	case ratelimit.Limited:
		limitsStatedTotal.Inc()
	case ratelimit.Unreadable:
		limitsUnreadableTotal.Inc()
		g.logLimit("endpoint states an unreadable rate limit", ratelimit.Record{Endpoint: endpoint}, call)
	case ratelimit.Unlimited:
		// Endpoints need not state their limits to probes and reservations.
		if call != answeredRequest && statement.Wait == 0 {
			return
		}
	}
	now := time.Now()
	r, changed := g.limits.Observe(endpoint, statement, sentAt, now)
	if statement.Wait > 0 {
		waitsStatedTotal.Inc()
		r, changed = g.limits.WaitRecord(endpoint), true
	}
	if changed {
		g.logLimit("endpoint rate limit", r, call)
	}
	if g.limits.TakeReport(endpoint, changed, now) {
		g.placer.reportLimit(r)
	}
}

// logLimit logs a change of a rate limit. An endpoint may state another value with each
// response, so the lines count towards the limit of request lines.
func (g *Gateway) logLimit(message string, r ratelimit.Record, call answeredCall) {
	if !g.logs.AllowRequestLine(time.Now()) {
		return
	}
	g.log.Info(message, "step", "gateway.limit", "endpoint", r.Endpoint, "limited", r.Limited, "per_second", r.PerSecond,
		"call", string(call), "limited_endpoints", g.limits.LimitedCount(), "wait_ms", max(time.Until(r.WaitUntil), 0).Milliseconds())
}

// limitReport is the rate limit that an endpoint stated, as entries tell each other.
type limitReport struct {
	Endpoint  string        `json:"endpoint"`
	Limited   bool          `json:"limited"`
	PerSecond float64       `json:"per_second"`
	Age       time.Duration `json:"age"`            // of the statement
	Wait      time.Duration `json:"wait,omitempty"` // for which the endpoint wants no requests
	Cold      *coldReport   `json:"cold,omitempty"` // nil if nothing was stated
}

func newLimitReport(r ratelimit.Record, now time.Time) limitReport {
	return limitReport{
		Endpoint: r.Endpoint, Limited: r.Limited, PerSecond: r.PerSecond, Age: now.Sub(r.At), Wait: max(r.WaitUntil.Sub(now), 0),
		Cold: newColdReport(r.Cold, now),
	}
}

// limitRecords decodes the limits that another entry told at now.
func limitRecords(reports []limitReport, now time.Time) []ratelimit.Record {
	out := make([]ratelimit.Record, 0, len(reports))
	for _, r := range reports {
		out = append(out, ratelimit.Record{Endpoint: r.Endpoint, Limited: r.Limited, PerSecond: r.PerSecond, At: now.Add(-r.Age), WaitUntil: now.Add(r.Wait), Cold: r.Cold.decode(now)})
	}
	return out
}

// limitReports returns all limits known to this entry.
func (p *placer) limitReports() []limitReport {
	now := time.Now()
	var out []limitReport
	for _, r := range p.limits.Records() {
		out = append(out, newLimitReport(r, now))
	}
	return out
}

// reportLimit tells the coordinator of a limit that was stated, changed or lifted.
func (p *placer) reportLimit(r ratelimit.Record) {
	p.queue(func(pending *reportRequest) { pending.Limits = append(pending.Limits, newLimitReport(r, time.Now())) })
}

// chargeCall counts a call that is sent without a permit, as holding it back would cost a
// request in progress its memory or leave memory reserved.
func (p *placer) chargeCall(endpoint string) {
	if _, limited := p.limits.Limit(endpoint); !limited {
		return
	}
	p.limits.Charge(endpoint, 1, time.Now())
	p.queue(func(pending *reportRequest) {
		if pending.Charges == nil {
			pending.Charges = map[string]int{}
		}
		pending.Charges[endpoint]++
	})
}

// permitRequest asks the coordinator for requests to an endpoint with a rate limit.
type permitRequest struct {
	Limit limitReport `json:"limit"`
}

type permitResponse struct {
	denial
	Granted int           `json:"granted"`
	Wait    time.Duration `json:"wait"` // until there is a request to grant, if there is none
}

// permitTimeout is the maximum time that a request waits for the coordinator's permit
// before the entry decides by itself.
const permitTimeout = pingTimeout

// grant answers a request for permits, as the coordinator.
func (p *placer) grant(q *permitRequest) *permitResponse {
	now := time.Now()
	p.limits.Merge(limitRecords([]limitReport{q.Limit}, now), now)
	granted, wait := p.limits.Grant(q.Limit.Endpoint, now)
	return &permitResponse{Granted: granted, Wait: wait}
}

// takePermit reports whether a request may be sent to an endpoint of a plain service
// within its rate limit. If not, it returns the time until the next one may be sent.
func (p *placer) takePermit(requestCtx context.Context, endpoint string) (ok bool, wait time.Duration) {
	now := time.Now()
	if stated := p.limits.StatedWait(endpoint, now); stated > 0 {
		return false, stated
	}
	record, limited := p.limits.Record(endpoint)
	if !limited {
		return true, 0
	}
	p.mu.Lock()
	address := p.coordinator
	if now.Before(p.backoffUntil) {
		address = ""
	}
	p.mu.Unlock()
	if address == "" {
		return p.takeOwnPermit(endpoint, now)
	}
	if ok, wait := p.limits.TakeGranted(endpoint, now); ok || wait > 0 {
		return ok, wait
	}
	ctx, cancel := context.WithTimeout(requestCtx, permitTimeout)
	defer cancel()
	response, err := p.client.permit(ctx, address, &permitRequest{newLimitReport(record, now)})
	now = time.Now()
	if err != nil {
		permitsFailedTotal.Inc()
		if requestCtx.Err() == nil {
			p.callFailed(address, err)
		}
		return p.takeOwnPermit(endpoint, now)
	}
	if response.Granted < 1 {
		p.limits.Deny(endpoint, response.Wait, now)
		permitsDeniedTotal.Inc()
		return false, response.Wait
	}
	p.limits.Receive(endpoint, response.Granted-1, now)
	return true, 0
}

// takeOwnPermit takes a request out of what this entry allots, or of its share.
func (p *placer) takeOwnPermit(endpoint string, now time.Time) (ok bool, wait time.Duration) {
	if p.limits.Take(endpoint, now) {
		return true, 0
	}
	permitsDeniedTotal.Inc()
	return false, p.limits.Wait(endpoint, now)
}
