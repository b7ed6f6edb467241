package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
)

// Times of callers' connections.
const (
	bodyTimeout = 5 * time.Second        // for a body; callers send theirs at once
	noTableBack = 500 * time.Millisecond // a starting entry has its table by then
)

var (
	requestsTotal  = metrics.NewCounter("jacinthplank_gateway_requests_total")
	refusedTotal   = metrics.NewCounter("jacinthplank_gateway_refused_total")
	failedTotal    = metrics.NewCounter("jacinthplank_gateway_failed_total")
	brokenTotal    = metrics.NewCounter("jacinthplank_gateway_streams_broken_total")
	repeatsTotal   = metrics.NewCounter("jacinthplank_gateway_repeats_total")
	firstByteTimes = metrics.NewHistogram("jacinthplank_gateway_first_byte_seconds")
	totalTimes     = metrics.NewHistogram("jacinthplank_gateway_request_seconds")
)

// serveCaller answers one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	requestsTotal.Inc()
	f := &flight{g: g, w: w, r: r, arrived: time.Now()}
	defer func() { totalTimes.UpdateDuration(f.arrived) }()
	if err := f.admit(); err != nil {
		f.answerFailure(err)
		f.note("refused", err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), f.deadline, errDeadline)
	defer cancel()
	f.ctx = ctx
	f.serve()
}

// errDeadline is the cause of a request that ran out of time.
var errDeadline = errors.New("the request's time is over")

// admit finds the route and the account of a request and reads its body.
func (f *flight) admit() *outcome.Error {
	const step = "gateway.admit"
	f.table = f.g.awaitTable(f.r.Context())
	if f.table == nil {
		e := outcome.Refuse(outcome.CodeNoQuorum, step, "no configuration is known yet")
		e.RetryAfter = noTableBack
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
			return outcome.Refuse(outcome.CodeInvalidKey, step, "the key is not known")
		}
	}
	if e := f.readBody(); e != nil {
		return e
	}
	f.deadline = f.arrived.Add(f.route.Timeout)
	if request.Timeout > 0 && request.Timeout < f.route.Timeout {
		f.deadline = f.arrived.Add(request.Timeout)
	}
	f.service = f.route.Choose(rand.Uint64())
	return nil
}

// startHold is how long a request waits for the first configuration of an entry
// that has just started: an election and two round trips are over by then.
const startHold = 1500 * time.Millisecond

// awaitTable returns the routing table, nil when there is none in time.
func (g *Gateway) awaitTable(ctx context.Context) *route.Table {
	if t := g.table.Load(); t != nil {
		return t
	}
	timer := time.NewTimer(startHold)
	defer timer.Stop()
	select {
	case <-g.configured:
	case <-ctx.Done():
	case <-timer.C:
	}
	return g.table.Load()
}

func (f *flight) readBody() *outcome.Error {
	const step = "gateway.body"
	if f.r.ContentLength == 0 {
		return nil
	}
	limit := f.table.Limits.BodyBytes
	if f.r.ContentLength > limit {
		return outcome.Refuse(outcome.CodeBodyTooLarge, step, "the body has %d bytes, the limit is %d", f.r.ContentLength, limit)
	}
	control := http.NewResponseController(f.w)
	if err := control.SetReadDeadline(f.arrived.Add(bodyTimeout)); err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(f.w, f.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.Refuse(outcome.CodeBodyTooLarge, step, "the body is over the limit of %d bytes", limit)
	case err != nil:
		e := outcome.Fail(outcome.CodeInvalidRequest, outcome.NotRun, step, err)
		e.Message = "the body could not be read whole"
		return e
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	f.body = body
	return nil
}

// statusOf returns the status of an answer of the gateway's own. A status that
// promises that a request has not run is given only where that is known.
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

// urgency of a request at an engine: more urgent priorities first.
func urgency(r *route.Route, a *route.Account) int {
	priority := r.Priority
	if a != nil && a.Priority != nil {
		priority = *a.Priority
	}
	return min(max(priority, 0)*2, 9)
}
