package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// flight is one caller's request from its arrival to its end.
type flight struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrived time.Time

	table    *route.Table
	route    *route.Route
	account  *route.Account
	request  Request
	service  string
	body     []byte
	deadline time.Time

	exclude  []string // endpoints that failed this request
	attempts int      // to place it
	sends    int      // that may have reached an endpoint
	ran      bool     // some endpoint may have run it
	endpoint string   // the last one
	placed   schedule.Decision
	first    time.Duration // from arrival to the first byte of the answer; 0 for none
	headSent bool
	lastID   string // id of the last event that the caller was sent
	events   int
	waited   time.Duration // for an endpoint
	pause    time.Duration // the longest between two events
	lastAt   time.Time     // of the last event
}

// mostTries bounds the endpoints that are tried without being reached.
const mostTries = 5

// resumeGoal is the time in which a stream that broke off has to go on: callers
// leave after two seconds of silence, and reading takes its part of them.
const resumeGoal = 1500 * time.Millisecond

// comeBackLeast is the least time to come back: what a request in progress takes
// to end.
const comeBackLeast = 100 * time.Millisecond

func (f *flight) left() time.Duration { return time.Until(f.deadline) }

// serve sends the request until it is answered or may not be sent again.
func (f *flight) serve() {
	f.lastID = f.request.LastEventID
	f.g.budget(f.service).Request(time.Now())
	var last *outcome.Error
	for range mostTries {
		target, e := f.choose()
		if e != nil {
			last = worse(last, e)
			break
		}
		e = f.attempt(target)
		if e == nil {
			f.note("answered", nil)
			return
		}
		last = e
		if !f.mayGoOn(e) {
			break
		}
	}
	f.fail(last)
}

// worse keeps what promises less.
func worse(before, now *outcome.Error) *outcome.Error {
	if before != nil && before.State != outcome.NotRun && now.State == outcome.NotRun {
		return before
	}
	return now
}

// mayGoOn reports whether the request may be sent once more after a failure.
func (f *flight) mayGoOn(e *outcome.Error) bool {
	if f.ctx.Err() != nil {
		return false
	}
	if e.State != outcome.NotRun && !f.route.MayRepeat() {
		return false
	}
	if f.sends == 0 {
		return true // nothing has reached an endpoint yet
	}
	if f.sends >= f.route.Attempts || !f.g.mayRepeat(f.service) {
		return false
	}
	repeatsTotal.Inc()
	return true
}

// choose finds the endpoint for the next attempt.
func (f *flight) choose() (announce.Record, *outcome.Error) {
	service := f.table.Service(f.service)
	if service != nil && service.Engine != nil {
		return f.chooseEngine()
	}
	h, found := f.g.plain.pick(f.g.heard(f.service), f.exclude, f.g.settings.FailureDomain, f.g.breakers, time.Now())
	if !found {
		e := outcome.Refuse(outcome.CodeNoEndpoint, "gateway.choose", "no endpoint of the service takes work")
		e.RetryAfter = comeBackLeast
		return h, e
	}
	return h, nil
}

func (f *flight) chooseEngine() (announce.Record, *outcome.Error) {
	const step = "gateway.choose"
	asked := time.Now()
	f.attempts++
	d, err := f.g.placer.place(f.ctx, f.job())
	f.waited += time.Since(asked)
	f.placed = d
	switch {
	case err != nil:
		return announce.Record{}, outcome.Fail(outcome.CodeDeadlinePassed, outcome.NotRun, step, err)
	case d.Refused():
		e := outcome.Refuse(outcome.CodeOverloaded, step, "%s", d.Reason)
		e.RetryAfter = max(d.RetryAfter, comeBackLeast)
		return announce.Record{}, e
	}
	// The coordinator may know an endpoint that this entry has not heard of yet.
	return announce.Record{Endpoint: announce.Endpoint{ID: d.Endpoint, Address: d.Address, Service: f.service}}, nil
}

// jobID names one attempt: reports on the one before may still be on their way.
func (f *flight) jobID() string { return f.request.ID + "." + strconv.Itoa(f.attempts) }

func (f *flight) job() schedule.Job {
	elapsed := time.Since(f.arrived)
	j := schedule.Job{
		ID: f.jobID(), Service: f.service, Domain: f.g.settings.FailureDomain,
		Prompt: f.request.PromptTokens, Answer: f.request.MaxAnswerTokens, Goal: f.route.Goal - elapsed,
		PauseGoal: f.route.PauseGoal, Remaining: f.left(), Priority: f.route.Priority, Exclude: f.exclude,
	}
	if f.events > 0 {
		// The caller has a part of the answer and leaves a silent stream soon.
		j.Goal = min(resumeGoal, j.Remaining)
	}
	if f.request.ExpectedAnswerTokens > 0 {
		j.Answer = min(f.request.ExpectedAnswerTokens, max(f.request.MaxAnswerTokens, f.request.ExpectedAnswerTokens))
	}
	return j
}
