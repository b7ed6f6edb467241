package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
	"github.com/jacinthplank/jacinthplank/timeline"
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
	f.lastID = f.request.ResumeAt
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
func (f *flight) choose() (announce.Heard, *outcome.Error) {
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

func (f *flight) chooseEngine() (announce.Heard, *outcome.Error) {
	const step = "gateway.choose"
	asked := time.Now()
	f.attempts++
	d, err := f.g.placer.place(f.ctx, f.job())
	f.waited += time.Since(asked)
	f.placed = d
	switch {
	case err != nil:
		return announce.Heard{}, outcome.Fail(outcome.CodeDeadlinePassed, outcome.NotRun, step, err)
	case d.Refused():
		e := outcome.Refuse(outcome.CodeOverloaded, step, "%s", d.Reason)
		e.RetryAfter = max(d.ComeBack, comeBackLeast)
		return announce.Heard{}, e
	}
	// The coordinator may know an endpoint that this entry has not heard of yet.
	return announce.Heard{Endpoint: announce.Endpoint{ID: d.Endpoint, Address: d.Address, Service: f.service}}, nil
}

// jobID names one attempt: reports on the one before may still be on their way.
func (f *flight) jobID() string { return f.request.ID + "." + strconv.Itoa(f.attempts) }

func (f *flight) job() schedule.Job {
	elapsed := time.Since(f.arrived)
	j := schedule.Job{
		ID: f.jobID(), Service: f.service, Domain: f.g.settings.FailureDomain,
		Prompt: f.request.Prompt, Answer: f.request.MaxAnswer, Goal: f.route.Goal - elapsed,
		PauseGoal: f.route.PauseGoal, Left: f.left(), Priority: f.route.Priority, Exclude: f.exclude,
	}
	if f.events > 0 {
		// The caller has a part of the answer and leaves a silent stream soon.
		j.Goal = min(resumeGoal, j.Left)
	}
	if f.request.Answer > 0 {
		j.Answer = min(f.request.Answer, max(f.request.MaxAnswer, f.request.Answer))
	}
	return j
}

// attempt sends the request to an endpoint and brings its answer to the caller.
// A nil error means that the caller has its answer.
func (f *flight) attempt(h announce.Heard) *outcome.Error {
	f.endpoint = h.ID
	end := schedule.Done
	defer func() { f.release(h, end) }()
	if f.g.mesh.IsLeaving(h.ID) {
		f.exclude = append(f.exclude, h.ID)
		return outcome.Refuse(outcome.CodeLeaving, "gateway.attempt", "endpoint %s left meanwhile", h.ID)
	}
	held, failed := f.g.reserve(f.ctx, f.jobID(), f.placed.Helpers)
	if failed != nil {
		f.exclude = append(f.exclude, failed.Peer)
		end = schedule.Rejected
		return failed
	}
	defer held.end()
	reply, err := f.g.client.Send(f.ctx, f.target(h), f.call(h))
	if err != nil {
		e := f.ended(outcome.From(err))
		end = f.blame(h, e)
		return e
	}
	defer reply.Close()
	f.sends++
	if reply.NotRun {
		end = schedule.Rejected
		return f.rejected(h, reply)
	}
	f.ran = true
	if reply.Status >= http.StatusInternalServerError && f.mayTryElsewhere() {
		f.exclude = append(f.exclude, h.ID)
		return &outcome.Error{Code: outcome.CodeEngineFailed, State: outcome.Ran, Step: "gateway.attempt", Peer: h.ID,
			Message: "the endpoint answered " + strconv.Itoa(reply.Status)}
	}
	f.g.breakers.Succeeded(time.Now(), h.ID)
	e := f.relay(reply)
	if e != nil {
		end = f.blame(h, e)
	}
	return e
}

// mayTryElsewhere reports whether an endpoint's own failure may be answered by
// another try; otherwise the caller gets it.
func (f *flight) mayTryElsewhere() bool {
	return f.route.MayRepeat() && f.sends < f.route.Attempts && !f.headSent && f.left() > f.route.Goal/2
}

func (f *flight) release(h announce.Heard, end schedule.End) {
	if f.isEngine() {
		f.g.placer.ended(f.jobID(), end)
		return
	}
	f.g.plain.done(h.ID)
}

func (f *flight) isEngine() bool {
	service := f.table.Service(f.service)
	return service != nil && service.Engine != nil
}

func (f *flight) target(h announce.Heard) forward.Target {
	t := forward.Target{ID: h.ID, Address: h.Address}
	if service := f.table.Service(f.service); service != nil && service.MaxConnections > 0 {
		// Each entry may open its share, with room for those that start anew.
		t.MaxConnections = max(service.MaxConnections/(f.g.mesh.Entries()+2), minConnections)
	}
	return t
}

// minConnections that an entry may open to an endpoint, however many entries
// there are.
const minConnections = 2

func (f *flight) call(h announce.Heard) *forward.Call {
	o := Outgoing{Endpoint: h.ID, Left: f.left(), Urgency: -1, ResumeAt: f.lastID, Helpers: f.placed.Helpers}
	if f.account != nil {
		o.Account = f.account.Name
	}
	if f.isEngine() {
		o.Urgency = urgency(f.route, f.account)
	}
	return &forward.Call{
		RequestID: f.request.ID, Method: f.r.Method, URI: f.r.URL.RequestURI(), Host: f.r.Host,
		Header: f.g.dialect.Forwarded(f.r.Header, o), Body: f.body, Fresh: !f.route.MayRepeat(),
	}
}

// ended types a failure that came with the end of the request's time.
func (f *flight) ended(e *outcome.Error) *outcome.Error {
	if e.State != outcome.NotRun {
		f.sends++
		f.ran = true
	}
	if errors.Is(context.Cause(f.ctx), errDeadline) {
		e = outcome.Fail(outcome.CodeDeadlinePassed, e.State, e.Step, errDeadline)
	}
	return e
}

// blame notes a failure of an endpoint, unless the caller or its time ended.
func (f *flight) blame(h announce.Heard, e *outcome.Error) schedule.End {
	f.exclude = append(f.exclude, h.ID)
	if f.ctx.Err() != nil {
		return schedule.Done
	}
	f.g.breakers.Failed(time.Now(), h.ID)
	f.log(h.ID, e)
	return schedule.Broken
}

// rejected takes an endpoint's word that it did not run the request.
func (f *flight) rejected(h announce.Heard, reply *forward.Reply) *outcome.Error {
	atFault := f.atFault(h, reply)
	f.exclude = append(f.exclude, atFault)
	e := outcome.Refuse(outcome.CodeOverloaded, "gateway.attempt", "endpoint %s refused with status %d", h.ID, reply.Status)
	e.Peer = atFault
	e.RetryAfter = comeBackLeast
	// The connection is kept if the rest of the refusal can be read.
	if _, err := reply.ReadAll(); err != nil {
		f.log(h.ID, outcome.From(err))
	}
	f.g.breakers.Refused(time.Now(), h.ID)
	if reply.Status == http.StatusMisdirectedRequest || atFault != h.ID {
		e.Code = outcome.CodeLeaving
		f.g.breakers.Failed(time.Now(), atFault)
	}
	f.log(atFault, e)
	return e
}

// atFault returns the id of the endpoint that a refusal blames: a helper that is
// gone, or the endpoint itself.
func (f *flight) atFault(h announce.Heard, reply *forward.Reply) string {
	address := f.g.dialect.Blamed(reply.Header)
	for _, helper := range f.placed.Helpers {
		if address != "" && helper.Address == address {
			return helper.ID
		}
	}
	return h.ID
}

// fail ends the request without a whole answer.
func (f *flight) fail(e *outcome.Error) {
	if f.r.Context().Err() != nil {
		f.note("caller_left", e)
		panic(http.ErrAbortHandler)
	}
	if f.headSent {
		brokenTotal.Inc()
		f.note("broken", e)
		panic(http.ErrAbortHandler) // an answer that ends early must not look whole
	}
	if f.ran && e.State == outcome.NotRun {
		e = &outcome.Error{Code: e.Code, State: outcome.Unknown, Message: e.Message, Step: e.Step, Peer: e.Peer, Cause: e.Cause}
	}
	f.answerFailure(e)
	if e.State == outcome.NotRun {
		refusedTotal.Inc()
		f.note("refused", e)
		return
	}
	failedTotal.Inc()
	f.note("failed", e)
}

// answerFailure writes an answer of the gateway's own.
func (f *flight) answerFailure(e *outcome.Error) {
	body, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": e.Code, "message": e.Message, "not_run": e.State == outcome.NotRun,
	}})
	if err != nil {
		body = nil // strings and a bool always encode
	}
	status := statusOf(e)
	comeBack := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		comeBack = max(e.RetryAfter, comeBackLeast)
	}
	h := f.w.Header()
	f.g.dialect.Failed(h, f.request.ID, comeBack)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	f.w.WriteHeader(status)
	if _, err := f.w.Write(body); err != nil {
		f.g.log.Debug("caller left before its answer", "request", f.request.ID, "error", err.Error())
	}
}

// log writes one failed attempt.
func (f *flight) log(endpoint string, e *outcome.Error) {
	f.record(timeline.KindRetried, endpoint, e)
	if !f.g.lines.Admit(time.Now()) {
		return
	}
	f.g.log.Info("attempt", "request", f.request.ID, "step", e.Step, "endpoint", endpoint, "code", string(e.Code),
		"state", e.State.String(), "cause", text(e.Cause), "sends", f.sends, "events", f.events,
		"elapsed_ms", time.Since(f.arrived).Milliseconds())
}

// endKinds are the kinds of events by the end of a request.
var endKinds = map[string]timeline.Kind{
	"answered": timeline.KindFinished, "refused": timeline.KindRefused, "failed": timeline.KindFailed,
	"broken": timeline.KindFailed, "caller_left": timeline.KindCanceled,
}

// record keeps the end of a request, or of an attempt, for operators.
func (f *flight) record(kind timeline.Kind, endpoint string, e *outcome.Error) {
	event := timeline.Event{
		Kind: kind, Request: f.request.ID, Attempt: uint32(f.sends), Endpoint: endpoint, Step: "gateway.end",
		Tokens: f.request.Prompt,
	}
	if f.account != nil {
		event.Account = f.account.Name
	}
	if e != nil {
		event.Step, event.Peer, event.Outcome, event.Detail, event.State = e.Step, e.Peer, string(e.Code), e.Message, e.State
	}
	f.g.events.Record(event)
}

// note writes the end of a request.
func (f *flight) note(end string, e *outcome.Error) {
	f.record(endKinds[end], f.endpoint, e)
	if !f.g.lines.Admit(time.Now()) {
		return
	}
	attributes := []any{
		"request", f.request.ID, "step", "gateway.end", "outcome", end, "service", f.service, "endpoint", f.endpoint,
		"prompt", f.request.Prompt, "answer", f.request.MaxAnswer, "hint", f.request.Answer, "helpers", helperIDs(f.placed.Helpers), "expected_ms", f.placed.Expected.Milliseconds(),
		"first_ms", f.first.Milliseconds(), "total_ms", time.Since(f.arrived).Milliseconds(), "sends", f.sends, "events", f.events,
		"pause_ms", f.pause.Milliseconds(), "waited_ms", f.waited.Milliseconds(),
	}
	if f.table != nil {
		attributes = append(attributes, "configuration", f.table.Version)
	}
	if f.route != nil {
		attributes = append(attributes, "route", f.route.Name)
	}
	if e != nil {
		attributes = append(attributes, "code", string(e.Code), "state", e.State.String(), "at", e.Step, "reason", e.Message, "cause", text(e.Cause))
	}
	f.g.log.Info("request", attributes...)
}

func helperIDs(helpers []schedule.Helper) []string {
	out := make([]string, 0, len(helpers))
	for _, h := range helpers {
		out = append(out, h.ID)
	}
	return out
}
