package endpoint

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/admission"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// frameBufferSize is the number of frames buffered for a slow caller.
const frameBufferSize = 32

// Cancellation causes of an attempt's context.
var (
	errDeadline       = errors.New("deadline passed")
	errCallerCanceled = errors.New("canceled by the caller")
	errEngineStalled  = errors.New("engine made no progress")
)

// attempt is one attempt from admission to its end. It implements the caller's
// Answer.
type attempt struct {
	agent   *Agent
	request submit.Request
	entry   admission.Request
	cached  int // leading prompt tokens believed to be in the prefix cache
	started time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc

	decideOnce sync.Once
	decided    chan struct{} // closed when the engine accepted the attempt or it was refused
	refusal    *outcome.Error

	frames chan submit.Frame
	done   chan struct{} // closed once err is set
	err    error

	accepted       bool // the engine accepted a call for the attempt
	outcomeUnknown bool // a call may or may not have reached the engine
	offset         int  // tokens sent to the caller, those of earlier attempts included
	firstFrameSent bool
	pauseRecorded  bool
	keepMemory     bool // memory stays allocated after the end, for later members of the group
}

var _ submit.Answer = (*attempt)(nil)

func (a *Agent) newAttempt(r submit.Request, now time.Time) *attempt {
	cached := a.cache.cachedPrefix(r.Prompt.Blocks) * engine.BlockTokens
	// Time is estimated from the expected answer length, memory from the maximum.
	expected := max(a.answerLengths.Estimate(r.Model, r.Account, r.MaxTokens), r.Offset)
	estimate := a.rates.Estimate(r.Prompt.Tokens, cached, expected, r.Offset)
	estimate.Blocks = a.rates.Blocks(r.Prompt.Tokens + r.MaxTokens)
	deadline := now.Add(r.Remaining)
	t := &attempt{
		agent:   a,
		request: r,
		cached:  min(cached, r.Prompt.Tokens),
		entry: admission.Request{
			Key:      r.Key(),
			Class:    r.Class(),
			Long:     estimate.Prefill > a.cfg.LongPrefillTime,
			Estimate: estimate,
			Arrived:  now,
			Deadline: deadline,
		},
		decided: make(chan struct{}),
		frames:  make(chan submit.Frame, frameBufferSize),
		done:    make(chan struct{}),
		offset:  r.Offset,
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	limited, stop := context.WithDeadlineCause(ctx, deadline, errDeadline)
	t.ctx = limited
	t.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	return t
}

// Next implements submit.Answer.
func (t *attempt) Next(ctx context.Context) (submit.Frame, error) {
	select {
	case f := <-t.frames:
		return f, nil
	default:
	}
	select {
	case f := <-t.frames:
		return f, nil
	case <-t.done:
	case <-ctx.Done():
		return submit.Frame{}, outcome.Fail(outcome.CodeCanceled, outcome.Unknown, stepEngine, context.Cause(ctx))
	}
	select {
	case f := <-t.frames:
		return f, nil
	default:
		return submit.Frame{}, t.err
	}
}

// Close implements submit.Answer. A queued attempt never starts; a running one is
// canceled at the engine, repeatedly until the engine confirms.
func (t *attempt) Close() error {
	a := t.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attempts[t.entry.Key] == t && a.queue.Cancel(t.entry.Key) {
		delete(a.attempts, t.entry.Key)
		a.record(timeline.KindCanceled, t, "", "queued")
		t.refuse(outcome.Refuse(outcome.CodeCanceled, stepAdmit, "canceled by the caller while queued"))
		a.closeIfDrained()
	}
	t.cancel(errCallerCanceled)
	return nil
}

func (t *attempt) refuse(err *outcome.Error) {
	t.decide(err)
	t.cancel(err)
}

func (t *attempt) decide(err *outcome.Error) {
	t.decideOnce.Do(func() {
		t.refusal = err
		close(t.decided)
	})
}

// run executes a started attempt and finishes it.
func (a *Agent) run(t *attempt) {
	err := a.execute(t)
	a.finish(t, err, time.Now())
}

// execute prefills and decodes an attempt. It returns nil only after the frame
// with the engine's finish reason was sent.
func (a *Agent) execute(t *attempt) error {
	w := a.newWork(t)
	if err := a.prefillChunks(t, w); err != nil {
		return err
	}
	_, last := prefillRange(w)
	remaining := a.rates.Prefill(t.cached, last)
	release, err := a.acquirePrefillSlot(t, remaining, remaining)
	if err != nil {
		return err
	}
	releaseOnce := sync.OnceFunc(release)
	defer releaseOnce()
	return a.generate(t, w, func(ctx context.Context, chunk engine.Chunk) error {
		releaseOnce()
		return a.sendFrame(ctx, t, chunk)
	}, remaining)
}

// sendFrame sends a chunk of the answer to the caller as a frame.
func (a *Agent) sendFrame(ctx context.Context, t *attempt, c engine.Chunk) error {
	if c.Finish == engine.FinishCanceled {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return outcome.Fail(outcome.CodeEngineFailed, outcome.Ran, stepEngine, errors.New("the engine canceled the attempt"))
	}
	f := submit.Frame{
		Request: t.request.ID,
		Attempt: t.request.Attempt,
		Offset:  t.offset,
		Tokens:  c.Tokens,
		Text:    c.Text,
		Finish:  c.Finish,
		Usage:   c.Usage,
	}
	t.offset += c.Tokens
	if c.Finish != engine.FinishNone && t.request.Group != nil {
		handle, err := a.exportSegment(ctx, t)
		if err != nil {
			return err
		}
		f.Handle = handle
	}
	if !t.firstFrameSent {
		t.firstFrameSent = true
		a.handleFirstToken(t)
		f.Backlog = new(a.Backlog())
	}
	if c.Finish != engine.FinishNone {
		f.Backlog = new(a.Backlog())
	}
	select {
	case t.frames <- f:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// handleFirstToken updates queue, cache view and metrics at the end of prefill.
func (a *Agent) handleFirstToken(t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.queue.PrefillDone(t.entry.Key, now)
	a.cache.add(t.request.Prompt.Blocks)
	a.record(timeline.KindFirstToken, t, "", "")
	countFirstToken(t.request.Class(), now.Sub(t.entry.Arrived))
	t.entry.Estimate.Prefill = now.Sub(t.started) // actual time, for the decode time observed in finish
}

// finish frees what an attempt held, records its outcome and hands it to the
// caller.
func (a *Agent) finish(t *attempt, err error, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	failure := a.classifyFailure(t, err)
	a.queue.Done(t.entry.Key)
	delete(a.attempts, t.entry.Key)
	a.settleLease(t, failure, now)
	if failure == nil {
		a.answerLengths.Observe(t.request.Model, t.request.Account, t.offset)
		a.queue.ObserveDecode(now.Sub(t.started)-t.entry.Estimate.Prefill, t.entry.Estimate.Decode)
		a.record(timeline.KindFinished, t, "", "")
		t.err = io.EOF
	} else {
		a.recordFailure(t, failure)
		t.err = failure
	}
	t.decide(failure)
	close(t.done)
	t.cancel(nil)
	a.dispatch(now)
	a.closeIfDrained()
}

// settleLease frees the lease of a finished attempt, or marks it for release so
// that the engine is told to cancel.
func (a *Agent) settleLease(t *attempt, failure *outcome.Error, now time.Time) {
	k := t.entry.Key
	switch {
	case failure == nil && t.keepMemory:
		// Later members of the group read the memory until Release or the deadline.
	case failure == nil && t.request.Group == nil:
		a.ledger.Confirm(k, now)
	case !t.accepted && !t.outcomeUnknown:
		a.ledger.Confirm(k, now) // the attempt never reached the engine
	default:
		a.ledger.Release(k, now)
		wake(a.cancelWake)
	}
}

// classifyFailure turns the error that ended an attempt into an outcome.Error. It
// returns nil for a complete answer.
func (a *Agent) classifyFailure(t *attempt, err error) *outcome.Error {
	if err == nil {
		return nil
	}
	state := outcome.NotRun
	switch {
	case t.accepted:
		state = outcome.Ran
	case t.outcomeUnknown:
		state = outcome.Unknown
	}
	var failure *outcome.Error
	switch {
	case errors.Is(err, errDeadline):
		failure = outcome.Fail(outcome.CodeDeadlinePassed, state, stepEngine, err)
	case errors.Is(err, errCallerCanceled):
		failure = outcome.Fail(outcome.CodeCanceled, state, stepEngine, err)
	case errors.Is(err, errEngineStalled):
		failure = outcome.Fail(outcome.CodeEngineStalled, state, stepEngine, err)
	default:
		failure = outcome.From(err)
		if t.accepted && failure.State == outcome.NotRun {
			failure.State = outcome.Ran // a later call was refused, but earlier ones ran
		}
	}
	failure.Peer = a.cfg.Name
	return failure
}

// recordFailure records and counts a failed attempt. After an engine failure it
// resets the cache view, as the engine may have restarted with an empty cache.
// The caller holds a.mu.
func (a *Agent) recordFailure(t *attempt, failure *outcome.Error) {
	if failure.Code == outcome.CodeEngineFailed || failure.Code == outcome.CodeTransport {
		a.cache.reset()
	}
	kind := timeline.KindFailed
	if failure.Code == outcome.CodeCanceled {
		kind = timeline.KindCanceled
	}
	a.cfg.Recorder.Record(timeline.Event{
		Kind: kind, Request: t.request.ID, Attempt: t.request.Attempt, Account: t.request.Account,
		Endpoint: a.cfg.Name, Step: failure.Step, Outcome: string(failure.Code), Detail: failure.Message, State: failure.State,
	})
	countFailure(failure)
}
