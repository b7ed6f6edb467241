package entry

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/answer"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/retry"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Steps named in errors and events.
const (
	stepPlace  = "entry.place"
	stepSubmit = "entry.submit"
	stepAnswer = "entry.answer"
)

// flight is one request on its way, over all its attempts. It implements
// submit.Answer.
type flight struct {
	router   *Router
	mu       sync.Mutex // held by Next and Close
	request  submit.Request
	ctx      context.Context // ends at the deadline or when the caller gives up
	cancel   context.CancelFunc
	deadline time.Time
	frames   *answer.Assembler
	current  *attempt
	failed   int // attempts that failed
	avoid    []string
	first    bool // a token reached the caller
	unsure   bool // an attempt may have run
	admitted bool // the limits let it pass
	done     error
}

// final marks an error after which no other attempt is made.
type final struct{ error }

// Unwrap returns the error.
func (f *final) Unwrap() error { return f.error }

func newFlight(ctx context.Context, r *Router, req submit.Request) *flight {
	f := &flight{
		router:   r,
		request:  req,
		deadline: time.Now().Add(req.Remaining),
		frames:   answer.New(req.ID, req.Generated, req.Offset),
	}
	f.ctx, f.cancel = context.WithDeadline(ctx, f.deadline)
	return f
}

// start makes attempts until one is admitted. cause is the failure that made
// another attempt necessary, nil for the first attempt.
func (f *flight) start(cause error) error {
	for {
		if cause != nil {
			if err := f.again(cause); err != nil {
				return err
			}
		}
		if cause = f.try(); cause == nil {
			return nil
		}
	}
}

// again waits before the next attempt. It returns the final error when there
// is to be none.
func (f *flight) again(cause error) error {
	var last *final
	if errors.As(cause, &last) {
		return last.error
	}
	err := outcome.From(cause)
	f.failed++
	f.unsure = f.unsure || err.State != outcome.NotRun
	if f.ctx.Err() != nil {
		return f.ended(err)
	}
	if f.failed >= retry.MaxAttempts || !retry.Sensible(err) || !f.hopeful(err) || !f.router.retries.Spend(f.request.Account) {
		return err
	}
	pause := time.NewTimer(retry.Delay(f.failed, f.router.draw()))
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-f.ctx.Done():
		return f.ended(err)
	}
	f.event(timeline.KindRetried, "", string(err.Code))
	return nil
}

// hopeful reports whether another attempt may do better. After a refusal that
// takes an endpoint that was not tried yet: asking the same one again at once
// would only use up the budget.
func (f *flight) hopeful(err *outcome.Error) bool {
	if err.State != outcome.NotRun || f.router.needsGroup(&f.request) {
		return true
	}
	choice, none := f.router.place(&f.request, f.avoid)
	return none == nil && !slices.Contains(f.avoid, choice.Member.Name)
}

// try makes one attempt.
func (f *flight) try() error {
	f.request.Attempt++
	f.request.Remaining = time.Until(f.deadline)
	f.request.Generated = f.frames.Text()
	f.request.Offset = f.frames.Offset()
	if f.router.needsGroup(&f.request) {
		return f.tryGroup()
	}
	choice, err := f.router.place(&f.request, f.avoid)
	if err != nil {
		return err
	}
	if err = f.admit(choice); err != nil {
		return err
	}
	return f.submit(choice)
}

// admit asks, once per request, whether it may be sent at all.
func (f *flight) admit(choice placement.Choice) error {
	if f.admitted {
		return nil
	}
	if err := f.router.admit(&f.request, choice); err != nil {
		return &final{err}
	}
	f.admitted = true
	return nil
}

// submit passes the attempt to the chosen endpoint.
func (f *flight) submit(choice placement.Choice) error {
	member := choice.Member
	f.avoid = append(f.avoid, member.Name)
	if !f.router.breakers.Acquire(time.Now(), member.Name) {
		return outcome.Refuse(outcome.CodeNoEndpoint, stepSubmit, "the endpoint is being probed")
	}
	f.frames.BeginAttempt(f.request.Attempt)
	f.event(timeline.KindPlaced, member.Name, "")
	a := newAttempt(f.ctx, choice)
	member.AddSent(f.request.Prompt.Tokens-choice.Cached, choice.Long)
	f.router.attempts.add(a)
	stream, err := f.router.port(member).Submit(a.ctx, f.outgoing())
	if err != nil {
		err = f.judge(a, err)
		f.router.attempts.remove(a)
		a.cancel(nil)
		return err
	}
	a.answer = stream
	f.current = a
	return nil
}

// outgoing returns the request as endpoints get it: with the engines' own name
// of the model.
func (f *flight) outgoing() submit.Request {
	req := f.request
	req.Model, _ = f.router.engineModel(req.Model)
	return req
}

// enter makes a the current attempt.
func (f *flight) enter(a *attempt) {
	f.current = a
	f.router.attempts.add(a)
}

// judge tells the breaker of a failed attempt and returns its error.
func (f *flight) judge(a *attempt, cause error) error {
	if a.stalled() {
		cause = f.silent(a)
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
		f.router.breakers.Refused(now, a.member.Name)
		return cause
	}
	f.router.breakers.Failed(now, a.member.Name)
	return cause
}

// silent is the failure of an attempt whose endpoint gave no sign of life.
func (f *flight) silent(a *attempt) error {
	return &outcome.Error{
		Code: outcome.CodeEngineStalled, State: outcome.Unknown, Step: stepSubmit,
		Peer: a.member.Name, Message: errStalled.Error(),
	}
}

// Next implements submit.Answer.
func (f *flight) Next(ctx context.Context) (submit.Frame, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done != nil {
		return submit.Frame{}, f.done
	}
	stop := context.AfterFunc(ctx, f.cancel)
	defer stop()
	for {
		frame, err := f.current.answer.Next(f.current.ctx)
		if err == nil {
			var taken bool
			if taken, err = f.take(frame); taken {
				return frame, nil
			}
		} else if errors.Is(err, io.EOF) {
			if f.frames.Complete() {
				f.finish()
				return submit.Frame{}, io.EOF
			}
			err = f.cut()
		}
		if err == nil {
			continue
		}
		err = f.judge(f.current, err)
		f.release()
		if err = f.start(err); err != nil {
			return submit.Frame{}, f.fail(err)
		}
	}
}

// take checks one frame and learns from it. It returns false when the frame is
// to be dropped.
func (f *flight) take(frame submit.Frame) (bool, error) {
	now := time.Now()
	f.current.touch(now)
	if frame.Backlog != nil {
		f.router.directory.Observe(now, *frame.Backlog)
	}
	taken, err := f.frames.Accept(frame)
	if err != nil || !taken {
		return false, err
	}
	if !f.current.started.Load() && frame.Tokens > 0 {
		f.firstToken(now)
	}
	if f.frames.Complete() {
		f.router.breakers.Succeeded(now, f.current.member.Name)
		f.learn(now, frame)
	}
	return true, nil
}

// firstToken compares the time to the first token of an attempt with what was
// expected of its endpoint.
func (f *flight) firstToken(now time.Time) {
	a := f.current
	a.started.Store(true)
	if a.group == nil {
		f.router.breakers.Measured(now, a.member.Name, now.Sub(a.sent), a.choice.Cost+latencyFloor)
	}
	if !f.first {
		f.first = true
		f.event(timeline.KindFirstToken, a.member.Name, "")
	}
}

// latencyFloor is added to the expected time to the first token before an
// endpoint's latency is compared with its peers', so that short waits within
// the engines' steps don't count.
const latencyFloor = 100 * time.Millisecond

// learn takes from a whole answer what was in the endpoint's prefix cache.
func (f *flight) learn(now time.Time, last submit.Frame) {
	if f.current.group == nil {
		f.router.policy.Learn(now, f.current.member, f.request.Prompt.Blocks, last.Usage.CachedTokens)
	}
}

// cut is the failure of a stream that ended without a finish.
func (f *flight) cut() error {
	return &outcome.Error{
		Code:    outcome.CodeTruncated,
		State:   outcome.Ran,
		Step:    stepAnswer,
		Peer:    f.current.member.Name,
		Message: "the answer ended without a finish",
	}
}

// ended is the final failure of a request whose context ended.
func (f *flight) ended(cause *outcome.Error) error {
	state := cause.State
	if f.first {
		state = outcome.Ran
	}
	if errors.Is(f.ctx.Err(), context.DeadlineExceeded) {
		return &outcome.Error{
			Code: outcome.CodeDeadlinePassed, State: state, Step: stepAnswer, Peer: cause.Peer,
			Message: "the request's time is over", Cause: cause,
		}
	}
	return &outcome.Error{
		Code: outcome.CodeCanceled, State: state, Step: stepAnswer, Peer: cause.Peer,
		Message: "the caller gave the request up", Cause: cause,
	}
}

// finish ends a complete answer.
func (f *flight) finish() {
	f.done = io.EOF
	f.router.lengths.Observe(f.request.Model, f.request.Account, f.frames.Offset())
	f.event(timeline.KindFinished, f.current.member.Name, "")
	f.release()
	f.cancel()
}

// fail ends the request with its final error.
func (f *flight) fail(cause error) error {
	err := *outcome.From(cause)
	if f.unsure && err.State == outcome.NotRun {
		err.State = outcome.Unknown
	}
	if f.first && err.Code != outcome.CodeCanceled && err.Code != outcome.CodeDeadlinePassed {
		err = outcome.Error{
			Code: outcome.CodeTruncated, State: outcome.Ran, Step: stepAnswer, Peer: err.Peer,
			Message: "the answer was cut and can't be continued", RetryAfter: err.RetryAfter, Cause: cause,
		}
	}
	f.done = &err
	kind := timeline.KindFailed
	switch {
	case err.Code == outcome.CodeCanceled:
		kind = timeline.KindCanceled
	case err.State == outcome.NotRun:
		kind = timeline.KindRefused
	}
	f.event(kind, err.Peer, string(err.Code))
	f.release()
	f.cancel()
	return f.done
}

// release gives the current attempt up.
func (f *flight) release() {
	if f.current == nil {
		return
	}
	f.router.attempts.remove(f.current)
	f.current.cancel(nil)
	f.current.answer.Close()
	f.current = nil
}

// Close implements submit.Answer.
func (f *flight) Close() error {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.done != nil:
	case f.frames.Complete() && f.current != nil:
		f.finish()
	default:
		f.fail(f.ended(&outcome.Error{Code: outcome.CodeCanceled}))
	}
	return nil
}

func (f *flight) event(kind timeline.Kind, endpoint, code string) {
	f.router.recorder.Record(timeline.Event{
		Kind: kind, Request: f.request.ID, Attempt: f.request.Attempt, Account: f.request.Account,
		Endpoint: endpoint, Step: "entry", Outcome: code,
	})
}
