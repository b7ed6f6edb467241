package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// inflightRequest is the state of one caller request.
type inflightRequest struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrived time.Time
	// spentEarlier is the time that the caller spent on earlier attempts. It counts
	// against the goal for the first event.
	spentEarlier time.Duration
	returned     bool // the caller was refused by this entry and returns at the time that it was given

	table     *route.Table
	route     *route.Route
	account   *route.Account
	request   Request
	service   string
	domains   []string // failure domains that may serve the request; nil for any
	body      []byte
	bodyRead  bool
	keys      []blame.Key // what it has in common with other requests
	heldBytes int64       // reserved in the memory budget until the request ends
	deadline  time.Time

	excluded        []string      // endpoints that failed or rejected this request
	unreached       []string      // excluded ones that never got the request: the connection timed out
	placements      int           // number of placements requested
	sendBefore      time.Time     // of the current attempt at a cold endpoint; zero for none
	sends           int           // attempts that may have reached an endpoint
	mayHaveRun      bool          // an endpoint may have run the request
	lastEndpoint    string        // endpoint id of the latest attempt
	endpointDomain  string        // failure domain of the latest attempt's endpoint; empty if unknown
	answerBytes     int           // relayed in the latest attempt, without the head
	callTook        time.Duration // of the latest attempt; 0 if it was not answered
	decision        schedule.Decision
	timeToFirstByte time.Duration // since arrival; 0 before the first byte
	headSent        bool
	isStreaming     bool   // the caller has the start of a stream
	callerLeft      bool   // a write to the caller failed
	lastEventID     string // id of the last event sent to the caller
	eventCount      int
	placementWait   time.Duration // total over all placements
	maxEventGap     time.Duration // between two consecutive events
	lastEventAt     time.Time
	writingSince    time.Time // first event of the current attempt; zero before
	hasSurvived     bool      // the current attempt's endpoint has been writing for writingTime
}

// maxTries limits the endpoints tried for one request, including those that were never
// reached.
const maxTries = 5

// resumeGoal is the time-to-first-event goal for resuming a broken stream. Callers
// disconnect after 2 s without an event, and part of that is spent on prefill.
const resumeGoal = 1500 * time.Millisecond

// minRetryAfter is the minimum retry delay given to callers, about the time in which
// a request in progress completes.
const minRetryAfter = 100 * time.Millisecond

func (f *inflightRequest) remaining() time.Duration { return time.Until(f.deadline) }

// serve attempts the request until it is answered or may not be retried.
func (f *inflightRequest) serve() {
	f.lastEventID = f.request.LastEventID
	f.g.retryBudget(f.service).RecordRequest(time.Now())
	var last *outcome.Error
	for range maxTries {
		f.sendBefore = time.Time{}
		if e := f.checkBlame(); e != nil {
			last = moreSevere(last, e)
			break
		}
		target, e := f.chooseEndpoint()
		if e != nil {
			last = moreSevere(last, e)
			break
		}
		e = f.attempt(target)
		if e == nil {
			f.recordOutcome("answered", nil)
			return
		}
		last = e
		if !f.canRetry(e) {
			break
		}
	}
	f.fail(last)
}

// moreSevere returns the error with the weaker guarantee: an earlier error after which
// the request may have run takes precedence over one that says it was not run.
func moreSevere(previous, current *outcome.Error) *outcome.Error {
	if previous != nil && previous.State != outcome.NotRun && current.State == outcome.NotRun {
		return previous
	}
	return current
}

// canRetry reports whether the request may be retried after a failure. It takes a retry
// out of the budget if an endpoint may have been reached.
func (f *inflightRequest) canRetry(e *outcome.Error) bool {
	if f.ctx.Err() != nil || f.callerLeft {
		return false
	}
	if f.headSent && !(f.isStreaming && isNumericID(f.lastEventID)) {
		return false // only a stream whose last event is known can go on elsewhere
	}
	if e.State != outcome.NotRun && !f.route.MayRepeat() {
		return false
	}
	if f.sends == 0 {
		return true // no endpoint has been reached yet
	}
	if f.sends >= f.route.Attempts || !f.g.takeRetry(f.service) {
		return false
	}
	retriesTotal.Inc()
	return true
}

// chooseEndpoint selects the endpoint for the next attempt.
func (f *inflightRequest) chooseEndpoint() (announce.Record, *outcome.Error) {
	if e := f.refuseEvacuated(); e != nil {
		return announce.Record{}, e
	}
	service := f.table.Service(f.service)
	if service != nil && service.Engine != nil {
		return f.chooseEngine()
	}
	return f.choosePlain()
}

func (f *inflightRequest) chooseEngine() (announce.Record, *outcome.Error) {
	const step = "gateway.choose"
	started := time.Now()
	f.placements++
	d, err := f.placeUnlessEvacuated()
	f.placementWait += time.Since(started)
	f.decision = d
	countDecision(&d)
	switch {
	case errors.Is(err, errServiceEvacuated):
		return announce.Record{}, f.newEvacuatedError()
	case err != nil:
		return announce.Record{}, f.withEndCause(outcome.Fail(outcome.CodeDeadlinePassed, outcome.NotRun, step, err), outcome.NotRun)
	case d.NoHome:
		return announce.Record{}, f.refuseWithoutHome(step)
	case d.Refused():
		e := outcome.Refuse(outcome.CodeOverloaded, step, "%s", d.Reason)
		e.RetryAfter = max(d.RetryAfter, minRetryAfter)
		f.g.returns.promise(f.requestKey(), e.RetryAfter, time.Now())
		return announce.Record{}, e
	}
	if d.Cold {
		f.limitSending(d.Endpoint, d.DecidedAt)
	}
	// The coordinator may know an endpoint whose announcement has not reached this
	// entry yet, so the address comes from the decision.
	return announce.Record{Endpoint: announce.Endpoint{ID: d.Endpoint, Address: d.Address, Service: f.service, FailureDomain: d.Domain}}, nil
}

// jobID is unique for each placement, as reports on the previous one may still be in
// flight.
func (f *inflightRequest) jobID() string { return f.request.ID + "." + strconv.Itoa(f.placements) }

func (f *inflightRequest) job() schedule.Job {
	elapsed := time.Since(f.arrived) + f.spentEarlier
	j := schedule.Job{
		ID: f.jobID(), Service: f.service, Domain: f.g.settings.FailureDomain,
		BodyBytes: len(f.body), Prompt: f.request.PromptTokens, Answer: f.request.MaxAnswerTokens, Goal: f.route.Goal - elapsed,
		PauseGoal: f.route.PauseGoal, Remaining: f.remaining(), Exclude: f.excluded, Domains: f.domains,
		Urgency: priority(f.route, f.account),
	}
	if f.g.settings.SharesEngines {
		j.Account, j.Kind, j.Request, j.Returned = f.accountName(), f.route.Name, f.requestKey(), f.returned
	}
	if f.eventCount > 0 {
		// The caller has part of the answer and disconnects if the stream stalls.
		j.Goal = min(resumeGoal, j.Remaining)
	}
	if f.request.ExpectedAnswerTokens > 0 {
		j.Answer = min(f.request.ExpectedAnswerTokens, max(f.request.MaxAnswerTokens, f.request.ExpectedAnswerTokens))
	}
	return j
}
