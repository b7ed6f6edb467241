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

// frameBuffer is the number of frames that wait for a slow caller.
const frameBuffer = 32

// Causes for which an attempt's context ends.
var (
	errDeadline  = errors.New("deadline passed")
	errAbandoned = errors.New("caller went away")
	errStalled   = errors.New("engine made no progress")
)

// attempt is one attempt from admission to its end. It is the caller's Answer.
type attempt struct {
	agent   *Agent
	request submit.Request
	entry   admission.Request
	cached  int // leading tokens believed to be cached
	started time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc

	decideOnce sync.Once
	decided    chan struct{} // closed when the engine has it or it is refused
	refusal    *outcome.Error

	frames chan submit.Frame
	done   chan struct{} // closed after err was set
	err    error

	accepted bool // the engine took a call for it
	unknown  bool // a call's outcome is unknown
	offset   int  // tokens passed on
	first    bool // the first frame was sent
	paused   bool // a pause was recorded
	held     bool // memory stays after the end, for the rest of a group
}

var _ submit.Answer = (*attempt)(nil)

func (a *Agent) newAttempt(r submit.Request, now time.Time) *attempt {
	cached := a.cache.leading(r.Prompt.Blocks) * engine.BlockTokens
	// The expected answer tells the time, the longest one the memory.
	expected := max(a.lengths.Estimate(r.Model, r.Account, r.MaxTokens), r.Offset)
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
			Long:     estimate.Prefill > a.cfg.LongTime,
			Estimate: estimate,
			Arrived:  now,
			Deadline: deadline,
		},
		decided: make(chan struct{}),
		frames:  make(chan submit.Frame, frameBuffer),
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

// Close implements submit.Answer. A queued attempt never starts; for a running
// one the engine is told to cancel until it confirms.
func (t *attempt) Close() error {
	a := t.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attempts[t.entry.Key] == t && a.queue.Cancel(t.entry.Key) {
		delete(a.attempts, t.entry.Key)
		a.record(timeline.KindCanceled, t, "", "queued")
		t.refuse(outcome.Refuse(outcome.CodeCanceled, stepAdmit, "the caller went away"))
		a.noteDrained()
	}
	t.cancel(errAbandoned)
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

// run takes a started attempt to its end.
func (a *Agent) run(t *attempt) {
	err := a.execute(t)
	a.end(t, err, time.Now())
}

// execute returns nil after the engine's explicit finish was passed on.
func (a *Agent) execute(t *attempt) error {
	w := a.workOf(t)
	if err := a.prefillChunks(t, w); err != nil {
		return err
	}
	_, last := bounds(w)
	left := a.rates.Prefill(t.cached, last)
	giveBack, err := a.takeTurn(t, left, left)
	if err != nil {
		return err
	}
	prefilled := sync.OnceFunc(giveBack)
	defer prefilled()
	return a.generate(t, w, func(ctx context.Context, chunk engine.Chunk) error {
		prefilled()
		return a.pass(ctx, t, chunk)
	}, left)
}

// pass turns a chunk of the answer into a frame.
func (a *Agent) pass(ctx context.Context, t *attempt, c engine.Chunk) error {
	if c.Finish == engine.FinishCanceled {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return outcome.Fail(outcome.CodeEngineFailed, outcome.Ran, stepEngine, errors.New("the engine cancelled the attempt"))
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
		handle, err := a.export(ctx, t)
		if err != nil {
			return err
		}
		f.Handle = handle
	}
	if !t.first {
		t.first = true
		a.firstToken(t)
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

// firstToken notes that the prefill is over.
func (a *Agent) firstToken(t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.queue.PrefillDone(t.entry.Key, now)
	a.cache.add(t.request.Prompt.Blocks)
	a.record(timeline.KindFirstToken, t, "", "")
	countFirstToken(t.request.Class(), now.Sub(t.entry.Arrived))
	t.entry.Estimate.Prefill = now.Sub(t.started) // as measured, for what is learnt at the end
}

// end frees what an attempt held and tells its caller.
func (a *Agent) end(t *attempt, err error, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	failure := a.failureOf(t, err)
	a.queue.Done(t.entry.Key)
	delete(a.attempts, t.entry.Key)
	a.settle(t, failure, now)
	if failure == nil {
		a.lengths.Observe(t.request.Model, t.request.Account, t.offset)
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
	a.pump(now)
	a.noteDrained()
}

// settle frees the lease of an attempt that ended, or has the engine told.
func (a *Agent) settle(t *attempt, failure *outcome.Error, now time.Time) {
	k := t.entry.Key
	switch {
	case failure == nil && t.held:
		// The rest of the group reads the memory until Release or the deadline.
	case failure == nil && t.request.Group == nil:
		a.ledger.Confirm(k, now)
	case !t.accepted && !t.unknown:
		a.ledger.Confirm(k, now) // the engine never had it
	default:
		a.ledger.Release(k, now)
		wake(a.tidy)
	}
}

// failureOf types the end of an attempt, nil for a complete answer.
func (a *Agent) failureOf(t *attempt, err error) *outcome.Error {
	if err == nil {
		return nil
	}
	state := outcome.NotRun
	switch {
	case t.accepted:
		state = outcome.Ran
	case t.unknown:
		state = outcome.Unknown
	}
	var failure *outcome.Error
	switch {
	case errors.Is(err, errDeadline):
		failure = outcome.Fail(outcome.CodeDeadlinePassed, state, stepEngine, err)
	case errors.Is(err, errAbandoned):
		failure = outcome.Fail(outcome.CodeCanceled, state, stepEngine, err)
	case errors.Is(err, errStalled):
		failure = outcome.Fail(outcome.CodeEngineStalled, state, stepEngine, err)
	default:
		failure = outcome.From(err)
		if t.accepted && failure.State == outcome.NotRun {
			failure.State = outcome.Ran // a later chunk was refused: earlier ones ran
		}
	}
	failure.Peer = a.cfg.Name
	return failure
}

// recordFailure notes a failed attempt. An engine that failed may have been
// restarted with an empty cache. a.mu is held.
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
