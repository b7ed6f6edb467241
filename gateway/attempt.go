package gateway

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// attempt sends the request to an endpoint and relays the response to the caller.
// It returns nil once the caller has the complete response.
func (f *inflightRequest) attempt(h announce.Record) *outcome.Error {
	f.lastEndpoint, f.endpointDomain, f.writingSince = h.ID, h.FailureDomain, time.Time{}
	f.callTook, f.answerBytes = 0, 0
	started := time.Now()
	end := schedule.Done
	defer func() { f.release(h, end) }()
	if e := f.checkBlame(); e != nil {
		return e // it was blamed while this request waited
	}
	if e := f.checkEndpoints(h); e != nil {
		return e
	}
	run := f.g.mesh.RunOf(h.ID)
	reserved, reserveErr := f.g.reserve(f.ctx, f.jobID(), f.decision.Helpers)
	if reserveErr != nil {
		f.excluded = append(f.excluded, reserveErr.Peer)
		end = schedule.Rejected
		return reserveErr
	}
	defer reserved.stopAndRelease()
	sentAt := time.Now()
	reply, err := f.g.client.Send(f.ctx, f.target(h), f.call(h))
	if err != nil {
		e := f.classifySendError(outcome.From(err))
		if e.Code == outcome.CodePermitExpired {
			end = schedule.Rejected
			return f.permitExpired(e)
		}
		end = f.recordFailure(h, e)
		f.noteUnreached(h, e)
		f.checkEnd(h, run, sentAt, e)
		return e
	}
	defer reply.Close()
	f.g.observe(run, answeredRequest, reply)
	f.sends++
	if reply.NotRun {
		end = schedule.Rejected
		return f.handleRejection(h, reply)
	}
	f.mayHaveRun = true
	if reply.Status >= http.StatusInternalServerError && f.canFailOver() {
		f.excluded = append(f.excluded, h.ID)
		return &outcome.Error{
			Code: outcome.CodeEngineFailed, State: outcome.Ran, Step: "gateway.attempt", Peer: h.ID,
			Message: "endpoint answered with status " + strconv.Itoa(reply.Status),
		}
	}
	e := f.relay(reply)
	f.countTraffic()
	if e != nil {
		end = f.recordFailure(h, e)
		f.checkEnd(h, run, sentAt, e)
		return e
	}
	f.callTook = time.Since(started)
	f.g.breakers.RecordSuccess(time.Now(), h.ID)
	if reply.Status < http.StatusMultipleChoices {
		f.recordSurvival()
	}
	return nil
}

// checkEndpoints returns an error if the endpoint or one of its helpers is known here to
// take no requests. The coordinator may not have known it when it placed the request.
func (f *inflightRequest) checkEndpoints(h announce.Record) *outcome.Error {
	if e := f.checkEndpoint(h.ID, h.Address); e != nil {
		return e
	}
	for _, helper := range f.decision.Helpers {
		if e := f.checkEndpoint(helper.ID, helper.Address); e != nil {
			return e
		}
	}
	return f.checkCold(h)
}

func (f *inflightRequest) checkEndpoint(id, address string) *outcome.Error {
	if f.g.mesh.IsLeaving(id) {
		f.excluded = append(f.excluded, id)
		if f.excludeEvacuated(id) {
			return outcome.Refuse(outcome.CodeEndpointLeaving, "gateway.attempt", "the failure domain of endpoint %s was evacuated before the request was sent", id)
		}
		return outcome.Refuse(outcome.CodeEndpointLeaving, "gateway.attempt", "endpoint %s left the fleet before the request was sent", id)
	}
	if wait := f.g.limits.StatedWait(id, time.Now()); wait > 0 {
		f.excluded = append(f.excluded, id)
		e := outcome.Refuse(outcome.CodeOverloaded, "gateway.attempt", "endpoint %s takes no requests for %d ms", id, wait.Milliseconds())
		e.RetryAfter = f.retryAfter()
		return e
	}
	return f.checkHome(id, address)
}

// retryAfter returns when a caller may come back: once an endpoint of the service takes
// requests again, as far as the caller's time allows.
func (f *inflightRequest) retryAfter() time.Duration {
	now, shortest := time.Now(), ratelimit.Never
	for _, h := range f.readyEndpoints() {
		shortest = min(shortest, f.g.limits.Wait(h.ID, now))
	}
	return max(min(shortest, f.remaining()/maxRetryAfterDivisor), minRetryAfter)
}

// canFailOver reports whether a 5xx response may be retried on another endpoint.
// Otherwise it is relayed to the caller.
func (f *inflightRequest) canFailOver() bool {
	return f.route.MayRepeat() && f.sends < f.route.Attempts && !f.headSent && f.remaining() > f.route.Goal/2
}

func (f *inflightRequest) release(h announce.Record, end schedule.Outcome) {
	if f.isEngineService() {
		f.g.placer.jobEnded(f.jobID(), end)
		return
	}
	f.g.plain.release(h.ID)
	f.g.plain.finish(h.ID, f.callTook, end == schedule.Failed)
	f.reportPlainCalls()
}

func (f *inflightRequest) isEngineService() bool {
	service := f.table.Service(f.service)
	return service != nil && service.Engine != nil
}

func (f *inflightRequest) target(h announce.Record) forward.Target {
	t := forward.Target{ID: h.ID, Address: h.Address}
	if service := f.table.Service(f.service); service != nil && service.MaxConnections > 0 {
		// The limit is shared by all entries, with headroom for two that are starting.
		t.MaxConnections = max(service.MaxConnections/(f.g.mesh.EntryCount()+2), minConnections)
	}
	return t
}

// minConnections is the minimum connection limit of an entry to one endpoint,
// regardless of the number of entries.
const minConnections = 2

func (f *inflightRequest) call(h announce.Record) *forward.Call {
	o := Outgoing{Endpoint: h.ID, Remaining: f.remaining(), Urgency: -1, LastEventID: f.lastEventID, Helpers: f.decision.Helpers}
	if f.account != nil {
		o.Account = f.account.Name
	}
	if f.isEngineService() {
		o.Urgency = urgency(f.route, f.account)
	}
	return &forward.Call{
		RequestID: f.request.ID, Method: f.r.Method, URI: f.r.URL.RequestURI(), Host: f.r.Host,
		Header: f.g.dialect.RequestHeaders(f.r.Header, o), Body: f.body, SendBefore: f.sendBefore,
		// Over a new connection nothing is sent into a cut, to arrive with other requests at its end.
		NewConnection: !f.route.MayRepeat() || !f.sendBefore.IsZero(),
	}
}

// classifySendError accounts for an attempt that may have reached the endpoint and
// reports the request's deadline or the shutdown as the cause if they ended it.
func (f *inflightRequest) classifySendError(e *outcome.Error) *outcome.Error {
	if e.State != outcome.NotRun {
		f.sends++
		f.mayHaveRun = true
	}
	return f.withEndCause(e, e.State)
}

// recordFailure excludes the endpoint from further attempts. The failure counts
// against its circuit breaker unless the caller left or the deadline passed.
func (f *inflightRequest) recordFailure(h announce.Record, e *outcome.Error) schedule.Outcome {
	f.excluded = append(f.excluded, h.ID)
	if f.ctx.Err() != nil || f.callerLeft {
		return schedule.Done
	}
	f.g.breakers.RecordFailure(time.Now(), h.ID)
	f.g.placer.reportFailing(h.ID)
	f.logAttempt(h.ID, e)
	return schedule.Failed
}

// noteUnreached records that an endpoint never got the request because the connection to it timed
// out. That may be due to a lost packet, or to this process, which was held up.
func (f *inflightRequest) noteUnreached(h announce.Record, e *outcome.Error) {
	var timeout net.Error
	if e.State == outcome.NotRun && errors.As(e, &timeout) && timeout.Timeout() {
		f.unreached = append(f.unreached, h.ID)
	}
}

// handleRejection handles a response that states that the request was not run.
func (f *inflightRequest) handleRejection(h announce.Record, reply *forward.Reply) *outcome.Error {
	faulty := f.faultyEndpoint(h, reply)
	f.excluded = append(f.excluded, faulty)
	e := outcome.Refuse(outcome.CodeOverloaded, "gateway.attempt", "endpoint %s refused the request with status %d", h.ID, reply.Status)
	e.Peer = faulty
	e.RetryAfter = f.retryAfter()
	// Draining the body keeps the connection reusable.
	if _, err := reply.ReadAll(maxControlBytes); err != nil {
		f.logAttempt(h.ID, outcome.From(err))
	}
	now := time.Now()
	misdirected := reply.Status == http.StatusMisdirectedRequest
	if faulty != h.ID || !misdirected {
		f.g.breakers.RecordRefusal(now, h.ID)
	}
	if faulty != h.ID || misdirected {
		e.Code = outcome.CodeEndpointLeaving
		f.g.breakers.RecordFailure(now, faulty)
		f.g.placer.reportFailing(faulty)
	}
	f.logAttempt(faulty, e)
	return e
}

// faultyEndpoint returns the id of the endpoint that caused a refusal: a helper that
// has left, or the endpoint itself.
func (f *inflightRequest) faultyEndpoint(h announce.Record, reply *forward.Reply) string {
	address := f.g.dialect.FaultyAddress(reply.Header)
	for _, helper := range f.decision.Helpers {
		if address != "" && helper.Address == address {
			return helper.ID
		}
	}
	return h.ID
}
