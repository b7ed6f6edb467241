package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
)

// Timeouts of caller requests.
const (
	bodyTimeout       = 5 * time.Second        // to read the body; callers send it without delay
	noTableRetryAfter = 500 * time.Millisecond // a starting entry has its routing table by then
)

var (
	requestsTotal      = metrics.NewCounter("jacinthplank_gateway_requests_total")
	refusedTotal       = metrics.NewCounter("jacinthplank_gateway_refused_total")
	failedTotal        = metrics.NewCounter("jacinthplank_gateway_failed_total")
	cutTotal           = metrics.NewCounter("jacinthplank_gateway_cut_total")
	brokenStreamsTotal = metrics.NewCounter("jacinthplank_gateway_streams_broken_total")
	retriesTotal       = metrics.NewCounter("jacinthplank_gateway_repeats_total")
	firstByteTimes     = metrics.NewHistogram("jacinthplank_gateway_first_byte_seconds")
	totalTimes         = metrics.NewHistogram("jacinthplank_gateway_request_seconds")
)

// serveCaller handles one caller request.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	requestsTotal.Inc()
	f := &inflightRequest{g: g, w: w, r: r, arrived: time.Now()}
	defer func() { totalTimes.UpdateDuration(f.arrived) }()
	defer func() { g.memory.Release(f.heldBytes) }()
	if err := f.admit(); err != nil {
		f.writeFailure(err)
		f.recordOutcome("refused", err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), f.deadline, errDeadline)
	defer cancel()
	ctx, cancelForShutdown := context.WithCancelCause(ctx)
	defer cancelForShutdown(nil)
	defer context.AfterFunc(g.shutdown.ended, func() { cancelForShutdown(errShutdown) })()
	f.ctx = ctx
	defer f.limitWrites()()
	f.serve()
}

// callerWriteGrace is how long after its deadline a caller may take to read its response.
const callerWriteGrace = 2 * time.Second

// limitWrites makes writes to the caller fail some time after the request's deadline, as a
// caller that doesn't read would hold the request for ever. The function that it returns
// takes the limit from the connection for its next request.
func (f *inflightRequest) limitWrites() (end func()) {
	control := http.NewResponseController(f.w)
	set := func(deadline time.Time) {
		if err := control.SetWriteDeadline(deadline); err != nil {
			f.g.log.Debug("no write deadline", "request", f.request.ID, "error", err.Error())
		}
	}
	set(f.deadline.Add(callerWriteGrace))
	return func() { set(time.Time{}) }
}

// errDeadline is the cancellation cause of a request whose deadline passed.
var errDeadline = errors.New("the request's time is over")

// admit resolves the route, account, deadline and service of a request and reads its
// body.
func (f *inflightRequest) admit() *outcome.Error {
	const step = "gateway.admit"
	if !f.g.memory.Reserve(requestBytes) {
		memoryRequestsRefusedTotal.Inc()
		e := outcome.Refuse(outcome.CodeOverloaded, step, "%s", errMemory.Error())
		e.RetryAfter = minRetryAfter
		return e
	}
	f.heldBytes = requestBytes
	f.table = f.g.awaitTable(f.r.Context())
	if f.table == nil {
		e := outcome.Refuse(outcome.CodeNoQuorum, step, "no configuration has been received yet")
		e.RetryAfter = noTableRetryAfter
		return e
	}
	f.route = f.table.Match(f.r.Host, f.r.URL.Path)
	if f.route == nil {
		return outcome.Refuse(outcome.CodeNotFound, step, "no route for %s%s", f.r.Host, f.r.URL.Path)
	}
	request, err := f.g.dialect.DecodeRequest(f.r.Header)
	if err != nil {
		return outcome.Refuse(outcome.CodeInvalidRequest, step, "%s", err.Error())
	}
	f.request = request
	if f.table.NeedsKey(f.route) {
		if f.account = f.table.Account(request.Key); f.account == nil {
			return outcome.Refuse(outcome.CodeInvalidKey, step, "unknown API key")
		}
	}
	f.deadline = f.arrived.Add(f.route.Timeout)
	if request.Timeout > 0 && request.Timeout < f.route.Timeout {
		f.deadline = f.arrived.Add(request.Timeout)
	}
	if f.g.shutdown.isTooLate(f.arrived, f.deadline) {
		return refuseForShutdown(step)
	}
	if e := f.readBody(); e != nil {
		return e
	}
	f.keys = f.blameKeys()
	f.spentEarlier = f.g.deadlines.spentEarlier(f.route.Name, request.Timeout, f.arrived)
	f.returned = f.g.returns.claim(f.requestKey(), f.arrived)
	f.service = f.route.Choose(rand.Uint64())
	return f.resolveHomes()
}

// initialTableTimeout is how long a request waits for the first configuration and the
// endpoints of an entry that has just started. It covers an election and two round trips.
const initialTableTimeout = 1500 * time.Millisecond

// awaitTable returns the routing table, or nil if none arrives in time. It also waits for
// the endpoints that other entries know.
func (g *Gateway) awaitTable(ctx context.Context) *route.Table {
	if t := g.table.Load(); t != nil && g.mesh.IsCaughtUp() {
		return t
	}
	timer := time.NewTimer(initialTableTimeout)
	defer timer.Stop()
	for _, known := range []<-chan struct{}{g.configured, g.mesh.CaughtUp()} {
		select {
		case <-known:
		case <-ctx.Done():
			return g.table.Load()
		case <-timer.C:
			return g.table.Load()
		}
	}
	return g.table.Load()
}

// statusOf returns the HTTP status of an error generated by the gateway. 503
// promises that the request was not run, so it is returned only if that is certain.
func statusOf(e *outcome.Error) int {
	switch e.Code {
	case outcome.CodeNotFound:
		return http.StatusNotFound
	case outcome.CodeInvalidKey:
		return http.StatusUnauthorized
	case outcome.CodeInvalidRequest:
		return http.StatusBadRequest
	case outcome.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	if e.State == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	if errors.Is(e, errDeadline) || e.Code == outcome.CodeDeadlinePassed {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// priority returns the account's priority if it has one, and otherwise the route's. 0 is
// the highest.
func priority(r *route.Route, a *route.Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// urgency maps the account's or the route's priority to an engine urgency from 0
// (most urgent) to 9.
func urgency(r *route.Route, a *route.Account) int { return min(max(priority(r, a), 0)*2, 9) }
