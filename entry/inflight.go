package entry

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/answer"
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/retry"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Steps reported in errors and events.
const (
	stepPlace  = "entry.place"
	stepSubmit = "entry.submit"
	stepAnswer = "entry.answer"
)

// inflightRequest is one request in flight, across all its attempts. It
// implements submit.Answer.
type inflightRequest struct {
	router         *Router
	mu             sync.Mutex // held by Next and Close
	request        submit.Request
	ctx            context.Context // ends at the deadline or when the caller cancels
	cancel         context.CancelFunc
	deadline       time.Time
	assembler      *answer.Assembler
	current        *attempt
	failedAttempts int
	tried          []string
	tokenDelivered bool // at least one token was returned to the caller
	mayHaveRun     bool // an earlier attempt may have run
	admitted       bool // admission has passed
	finalErr       error
	keys           []blame.Key // what the request has in common with others
}

// permanentError marks an error that is not retried.
type permanentError struct{ error }

func (f *permanentError) Unwrap() error { return f.error }

func newInflightRequest(ctx context.Context, r *Router, req submit.Request) *inflightRequest {
	f := &inflightRequest{
		router:    r,
		request:   req,
		deadline:  time.Now().Add(req.Remaining),
		assembler: answer.New(req.ID, req.Generated, req.Offset),
		keys:      blameKeys(&req),
	}
	f.ctx, f.cancel = context.WithDeadline(ctx, f.deadline)
	return f
}

// start makes attempts until an endpoint admits one. cause is the failure of the
// previous attempt, nil for the first attempt.
func (f *inflightRequest) start(cause error) error {
	for {
		if cause != nil {
			if err := f.waitForRetry(cause); err != nil {
				return err
			}
		}
		if cause = f.startAttempt(); cause == nil {
			return nil
		}
	}
}

// waitForRetry waits for the backoff before the next attempt. It returns the final
// error when the request is not to be retried.
func (f *inflightRequest) waitForRetry(cause error) error {
	var permanent *permanentError
	if errors.As(cause, &permanent) {
		return permanent.error
	}
	err := outcome.From(cause)
	f.failedAttempts++
	f.mayHaveRun = f.mayHaveRun || err.State != outcome.NotRun
	if f.ctx.Err() != nil {
		return f.contextError(err)
	}
	if f.failedAttempts >= retry.MaxAttempts || !retry.Retryable(err) || !f.retryMayHelp(err) || !f.router.retries.Spend(f.request.Account) {
		return err
	}
	timer := time.NewTimer(retry.Delay(f.failedAttempts, f.router.randomBits()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
		return f.contextError(err)
	}
	f.recordEvent(timeline.KindRetried, "", string(err.Code))
	return nil
}

// retryMayHelp reports whether another attempt may succeed. After a refusal, that
// requires an endpoint that was not tried yet: retrying the same one immediately
// would only use up the retry budget.
func (f *inflightRequest) retryMayHelp(err *outcome.Error) bool {
	if err.State != outcome.NotRun || f.router.needsGroup(&f.request) {
		return true
	}
	choice, placeErr := f.router.place(&f.request, f.tried)
	return placeErr == nil && !slices.Contains(f.tried, choice.Member.Name)
}

func (f *inflightRequest) startAttempt() error {
	if err := f.checkBlame(); err != nil {
		return err
	}
	f.request.Attempt++
	f.request.Remaining = time.Until(f.deadline)
	f.request.Generated = f.assembler.Text()
	f.request.Offset = f.assembler.Offset()
	if f.router.needsGroup(&f.request) {
		return f.startGroupAttempt()
	}
	choice, err := f.router.place(&f.request, f.tried)
	if err != nil {
		return err
	}
	if err = f.admit(choice); err != nil {
		return err
	}
	return f.submit(choice)
}

// admit runs the router's admission check once per request.
func (f *inflightRequest) admit(choice placement.Choice) error {
	if f.admitted {
		return nil
	}
	if err := f.router.admit(&f.request, choice); err != nil {
		return &permanentError{err}
	}
	f.admitted = true
	return nil
}

// submit sends the attempt to the chosen endpoint.
func (f *inflightRequest) submit(choice placement.Choice) error {
	member := choice.Member
	f.tried = append(f.tried, member.Name)
	acquired := time.Now()
	if !f.router.breakers.Acquire(acquired, member.Name) {
		return outcome.Refuse(outcome.CodeNoEndpoint, stepSubmit, "the endpoint's circuit breaker is open or has a probe in flight")
	}
	f.assembler.BeginAttempt(f.request.Attempt)
	f.recordEvent(timeline.KindPlaced, member.Name, "")
	a := newAttempt(f.ctx, choice)
	a.acquired = acquired
	member.AddSent(f.request.Prompt.Tokens-choice.Cached, choice.Long)
	f.router.attempts.add(a)
	stream, err := f.router.endpointClient(member).Submit(a.ctx, f.endpointRequest())
	if err != nil {
		err = f.recordFailure(a, err)
		f.end(a)
		return err
	}
	a.answer = stream
	f.current = a
	return nil
}

// endpointRequest returns the request as sent to endpoints, with the engines' name
// of the model.
func (f *inflightRequest) endpointRequest() submit.Request {
	req := f.request
	req.Model, _ = f.router.engineModel(req.Model)
	return req
}

// setCurrent makes a the current attempt and adds it to the active attempts.
func (f *inflightRequest) setCurrent(a *attempt) {
	f.current = a
	f.router.attempts.add(a)
}

// recordFailure reports a failed attempt to the endpoint's breaker and returns the
// error of the attempt.
func (f *inflightRequest) recordFailure(a *attempt, cause error) error {
	if a.stalled() {
		cause = f.stalledError(a)
	}
	err := outcome.From(cause)
	if f.ctx.Err() != nil {
		return cause
	}
	now := time.Now()
	if backlog := submit.BacklogOf(cause); backlog != nil {
		f.router.directory.Observe(now, *backlog)
	}
	if err.State == outcome.NotRun {
		f.router.breakers.RecordRefusal(now, a.member.Name)
		return cause
	}
	f.router.breakers.RecordFailure(now, a.member.Name)
	f.recordEnd(a, err, now)
	return cause
}

// stalledError returns the error of an attempt that was canceled as stalled.
func (f *inflightRequest) stalledError(a *attempt) error {
	return &outcome.Error{
		Code: outcome.CodeEngineStalled, State: outcome.Unknown, Step: stepSubmit,
		Peer: a.member.Name, Message: errStalled.Error(),
	}
}

// Next implements submit.Answer.
func (f *inflightRequest) Next(ctx context.Context) (submit.Frame, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finalErr != nil {
		return submit.Frame{}, f.finalErr
	}
	stop := context.AfterFunc(ctx, f.cancel)
	defer stop()
	for {
		frame, err := f.current.answer.Next(f.current.ctx)
		if err == nil {
			var accepted bool
			if accepted, err = f.acceptFrame(frame); accepted {
				return frame, nil
			}
		} else if errors.Is(err, io.EOF) {
			if f.assembler.Complete() {
				f.finish()
				return submit.Frame{}, io.EOF
			}
			err = f.truncatedError()
		}
		if err == nil {
			continue
		}
		err = f.recordFailure(f.current, err)
		f.releaseCurrent()
		if err = f.start(err); err != nil {
			return submit.Frame{}, f.fail(err)
		}
	}
}

// acceptFrame checks one frame and updates the endpoint's load and breaker from
// it. It returns false when the frame is to be dropped.
func (f *inflightRequest) acceptFrame(frame submit.Frame) (bool, error) {
	now := time.Now()
	f.current.recordProgress(now)
	if frame.Backlog != nil {
		f.router.directory.Observe(now, *frame.Backlog)
	}
	accepted, err := f.assembler.Accept(frame)
	if err != nil || !accepted {
		return false, err
	}
	if !f.current.started.Load() && frame.Tokens > 0 {
		f.recordFirstToken(now)
	}
	if f.assembler.Complete() {
		f.router.breakers.RecordSuccess(now, f.current.member.Name)
		f.router.blame.RecordSurvival(f.keys, now)
		f.recordCachedPrefix(now, frame)
	}
	return true, nil
}

// recordFirstToken reports the time to the first token of an attempt, and the
// expected time, to the endpoint's breaker.
func (f *inflightRequest) recordFirstToken(now time.Time) {
	a := f.current
	a.started.Store(true)
	if a.group == nil {
		f.router.breakers.RecordLatency(now, a.member.Name, now.Sub(a.sent), a.choice.Cost+latencyAllowance)
	}
	if !f.tokenDelivered {
		f.tokenDelivered = true
		f.recordEvent(timeline.KindFirstToken, a.member.Name, "")
	}
}

// latencyAllowance is added to the expected time to the first token before an
// endpoint's latency is compared with its peers', so that short waits for an
// engine's current step don't count.
const latencyAllowance = 100 * time.Millisecond

// recordCachedPrefix passes the number of cached prompt tokens of a complete answer
// to the placement policy.
func (f *inflightRequest) recordCachedPrefix(now time.Time, last submit.Frame) {
	if f.current.group == nil {
		f.router.policy.Learn(now, f.current.member, f.request.Prompt.Blocks, last.Usage.CachedTokens)
	}
}

// truncatedError returns the error of a stream that ended without a finish reason.
func (f *inflightRequest) truncatedError() error {
	return &outcome.Error{
		Code:    outcome.CodeTruncated,
		State:   outcome.Ran,
		Step:    stepAnswer,
		Peer:    f.current.member.Name,
		Message: "the answer ended without a finish reason",
	}
}

// contextError returns the final error of a request whose context has ended.
func (f *inflightRequest) contextError(cause *outcome.Error) error {
	state := cause.State
	if f.tokenDelivered {
		state = outcome.Ran
	}
	if errors.Is(f.ctx.Err(), context.DeadlineExceeded) {
		return &outcome.Error{
			Code: outcome.CodeDeadlinePassed, State: state, Step: stepAnswer, Peer: cause.Peer,
			Message: "request deadline exceeded", Cause: cause,
		}
	}
	return &outcome.Error{
		Code: outcome.CodeCanceled, State: state, Step: stepAnswer, Peer: cause.Peer,
		Message: "request canceled by the caller", Cause: cause,
	}
}

// finish ends the request after a complete answer.
func (f *inflightRequest) finish() {
	f.finalErr = io.EOF
	f.router.lengths.Observe(f.request.Model, f.request.Account, f.assembler.Offset())
	f.recordEvent(timeline.KindFinished, f.current.member.Name, "")
	f.releaseCurrent()
	f.cancel()
}

// fail ends the request with its final error.
func (f *inflightRequest) fail(cause error) error {
	err := *outcome.From(cause)
	if f.mayHaveRun && err.State == outcome.NotRun {
		err.State = outcome.Unknown
	}
	if f.tokenDelivered && err.Code != outcome.CodeCanceled && err.Code != outcome.CodeDeadlinePassed {
		err = outcome.Error{
			Code: outcome.CodeTruncated, State: outcome.Ran, Step: stepAnswer, Peer: err.Peer,
			Message: "the answer was truncated and can't be continued by another attempt", RetryAfter: err.RetryAfter, Cause: cause,
		}
	}
	f.finalErr = &err
	kind := timeline.KindFailed
	switch {
	case err.Code == outcome.CodeCanceled:
		kind = timeline.KindCanceled
	case err.State == outcome.NotRun:
		kind = timeline.KindRefused
	}
	f.recordEvent(kind, err.Peer, string(err.Code))
	f.releaseCurrent()
	f.cancel()
	return f.finalErr
}

// releaseCurrent cancels and closes the current attempt, if any.
func (f *inflightRequest) releaseCurrent() {
	if f.current == nil {
		return
	}
	f.end(f.current)
	f.current.answer.Close()
	f.current = nil
}

// end removes an attempt from the active ones, cancels it and releases its breaker.
func (f *inflightRequest) end(a *attempt) {
	f.router.attempts.remove(a)
	a.cancel(nil)
	if a.group == nil {
		f.router.breakers.Release(time.Now(), a.member.Name, a.acquired)
	}
}

// Close implements submit.Answer.
func (f *inflightRequest) Close() error {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.finalErr != nil:
	case f.assembler.Complete() && f.current != nil:
		f.finish()
	default:
		f.fail(f.contextError(&outcome.Error{Code: outcome.CodeCanceled}))
	}
	return nil
}

func (f *inflightRequest) recordEvent(kind timeline.Kind, endpoint, code string) {
	f.router.recorder.Record(timeline.Event{
		Kind: kind, Request: f.request.ID, Attempt: f.request.Attempt, Account: f.request.Account,
		Endpoint: endpoint, Step: "entry", Outcome: code,
	})
}
