package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/route"
)

var (
	coldAnnouncedTotal     = metrics.NewCounter("jacinthplank_cold_announced_total")
	coldStatedTotal        = metrics.NewCounter("jacinthplank_cold_stated_total")
	coldMarkedTotal        = metrics.NewCounter("jacinthplank_cold_marked_total")
	coldPermitExpiredTotal = metrics.NewCounter("jacinthplank_cold_permits_expired_total")
	coldPermitDeniedTotal  = metrics.NewCounter("jacinthplank_cold_permits_denied_total")
)

// coldConfiguration returns what the endpoints of a service take while they are cold, and
// whether that is limited.
func (g *Gateway) coldConfiguration(service string) (route.Cold, bool) {
	table := g.table.Load()
	if table == nil {
		return route.Cold{}, false
	}
	s := table.Service(service)
	if s == nil || s.Cold.PerSecond <= 0 {
		return route.Cold{}, false
	}
	return s.Cold, true
}

// applyCold applies what the endpoints of a service announced of their cold times.
func (g *Gateway) applyCold(service string, all []announce.Record) {
	cold, limited := g.coldConfiguration(service)
	if !limited {
		return
	}
	now := time.Now()
	for i := range all {
		h := &all[i]
		c := ratelimit.Cold{PerSecond: cold.PerSecond, Until: h.ColdUntil(), At: h.At}
		if r, changed := g.limits.SetCold(h.ID, c, now); changed {
			coldAnnouncedTotal.Inc()
			g.logCold("endpoint announced its cold time", r, now)
		}
	}
}

// observeCold records what a response states of the cold time of its endpoint, and tells the
// coordinator.
func (g *Gateway) observeCold(run announce.Run, left time.Duration, sentAt time.Time) {
	h, known := g.mesh.EndpointOfRun(run)
	if !known {
		return
	}
	cold, limited := g.coldConfiguration(h.Service)
	if !limited {
		return
	}
	now := time.Now()
	c := ratelimit.Cold{PerSecond: cold.PerSecond, Until: now.Add(left), At: now}
	if left == 0 {
		c.Until, c.At = sentAt, sentAt // it may have become cold again since
	}
	r, changed := g.limits.SetCold(run.ID, c, now)
	if !changed {
		return
	}
	coldStatedTotal.Inc()
	g.logCold("endpoint states its cold time", r, now)
	if g.limits.TakeReport(run.ID, true, now) {
		g.placer.reportLimit(r)
	}
}

// announcementTransit is the time that an announcement may take to an entry. One that arrives
// sooner after a moment may have been made before it.
const announcementTransit = 300 * time.Millisecond

// markDomainCold marks all endpoints of a failure domain as cold until an announcement that
// was made after now states otherwise.
func (g *Gateway) markDomainCold(domain string) {
	table := g.table.Load()
	if table == nil {
		return // no request is sent before there is one, and it then counts as any start
	}
	now := time.Now()
	marked := 0
	for i := range table.Services {
		cold, limited := g.coldConfiguration(table.Services[i].Name)
		if !limited {
			continue
		}
		for _, h := range g.mesh.KnownEndpoints(table.Services[i].Name) {
			if h.FailureDomain != domain {
				continue
			}
			marked++
			coldMarkedTotal.Inc()
			g.limits.SetCold(h.ID, ratelimit.Cold{PerSecond: cold.PerSecond, Until: now.Add(markedTime), At: now.Add(announcementTransit)}, now)
		}
	}
	g.log.Info("endpoints of a failure domain count as cold", "step", "gateway.cold", "failure_domain", domain, "endpoints", marked)
}

// markedTime is how long an endpoint that was marked as cold stays so without an
// announcement. One that announces nothing for so long is removed.
const markedTime = 10 * time.Minute

// logCold logs a change of a cold time, within the limit of request lines.
func (g *Gateway) logCold(message string, r ratelimit.Record, now time.Time) {
	if !g.logs.AllowRequestLine(now) {
		return
	}
	g.log.Info(message, "step", "gateway.cold", "endpoint", r.Endpoint, "left_ms", max(r.Cold.Until.Sub(now), 0).Milliseconds(),
		"age_ms", now.Sub(r.Cold.At).Milliseconds(), "per_second", r.Cold.PerSecond, "cold_endpoints", g.limits.ColdCount(now))
}

// coldRequestsCost is the cost of a cold endpoint of a plain service that is passed over for
// warm ones: as that of four requests in progress, so that it is used once they are busy.
const coldRequestsCost = 8

// coldCost returns the cost of a cold endpoint of a plain service. It is passed over more
// rarely the less of its cold time is left, so that endpoints that start together take over
// their part of the traffic step by step.
func (g *Gateway) coldCost(h announce.Record, now time.Time) int {
	left := g.limits.ColdLeft(h.ID, now)
	if left == 0 {
		return 0
	}
	cold, _ := g.coldConfiguration(h.Service)
	if cold.Duration > 0 && rand.Float64() >= float64(left)/float64(cold.Duration) {
		return 0
	}
	return coldRequestsCost
}

// limitSending limits the time in which the current attempt may be sent, if its endpoint is
// cold, to that for which it was allotted.
func (f *inflightRequest) limitSending(endpoint string, allottedAt time.Time) {
	if f.decision.Cold || f.g.limits.IsCold(endpoint, time.Now()) {
		f.sendBefore = allottedAt.Add(ratelimit.ColdLifetime)
	}
}

// checkCold returns an error if the endpoint became cold after the request was placed and
// takes no further one now, or if a helper did.
func (f *inflightRequest) checkCold(h announce.Record) *outcome.Error {
	const step = "gateway.attempt"
	now := time.Now()
	for _, helper := range f.decision.Helpers {
		if f.g.limits.IsCold(helper.ID, now) {
			f.excluded = append(f.excluded, helper.ID)
			return outcome.Refuse(outcome.CodeOverloaded, step, "endpoint %s became cold and doesn't help", helper.ID)
		}
	}
	if !f.sendBefore.IsZero() || !f.g.limits.IsCold(h.ID, now) {
		return nil
	}
	if ok, _ := f.g.placer.takePermit(f.ctx, h.ID); !ok {
		coldPermitDeniedTotal.Inc()
		f.excluded = append(f.excluded, h.ID)
		e := outcome.Refuse(outcome.CodeOverloaded, step, "endpoint %s became cold and takes no further request now", h.ID)
		e.RetryAfter = f.retryAfter()
		return e
	}
	f.limitSending(h.ID, now)
	return nil
}

// permitExpired completes the error of a request that was not sent in time to a cold endpoint.
// It is placed again, as the endpoint didn't fail.
func (f *inflightRequest) permitExpired(e *outcome.Error) *outcome.Error {
	coldPermitExpiredTotal.Inc()
	e.RetryAfter = f.retryAfter()
	f.logAttempt(e.Peer, e)
	return e
}

// coldReport is what an endpoint stated of its cold time, as entries tell each other.
type coldReport struct {
	PerSecond float64       `json:"per_second"`
	Left      time.Duration `json:"left"` // 0 if it is warm
	Age       time.Duration `json:"age"`  // of the statement
}

// newColdReport returns nil if nothing was stated.
func newColdReport(c ratelimit.Cold, now time.Time) *coldReport {
	if c.At.IsZero() {
		return nil
	}
	return &coldReport{PerSecond: c.PerSecond, Left: max(c.Until.Sub(now), 0), Age: now.Sub(c.At)}
}

// decode returns the statement as told at now.
func (r *coldReport) decode(now time.Time) ratelimit.Cold {
	if r == nil {
		return ratelimit.Cold{}
	}
	return ratelimit.Cold{PerSecond: r.PerSecond, Until: now.Add(r.Left), At: now.Add(-r.Age)}
}
