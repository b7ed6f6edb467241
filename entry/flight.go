package entry

import (
	"context"
	"errors"
	"io"
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
	done     error
}

// attempt is one attempt at one endpoint.
type attempt struct {
	choice placement.Choice
	answer submit.Answer
	cancel context.CancelFunc
	sent   time.Time
}

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
	err := outcome.From(cause)
	f.failed++
	f.unsure = f.unsure || err.State != outcome.NotRun
	if f.ctx.Err() != nil {
		return f.ended(err)
	}
	if f.failed >= retry.MaxAttempts || !retry.Sensible(err) || !f.router.retries.Spend(f.request.Account) {
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

// try makes one attempt.
func (f *flight) try() error {
	f.request.Attempt++
	f.request.Remaining = time.Until(f.deadline)
	f.request.Generated = f.frames.Text()
	f.request.Offset = f.frames.Offset()
	choice, err := f.router.place(&f.request, f.avoid)
	if err != nil {
		return err
	}
	f.avoid = append(f.avoid, choice.Member.Name)
	f.frames.Begin(f.request.Attempt)
	f.event(timeline.KindPlaced, choice.Member.Name, "")
	return f.submit(choice)
}

// submit passes the attempt to the chosen endpoint.
func (f *flight) submit(choice placement.Choice) error {
	member := choice.Member
	fresh := f.request.Prompt.Tokens - choice.Cached
	long := f.request.Class() >= submit.ClassLong
	ctx, cancel := context.WithCancel(f.ctx)
	a := &attempt{choice: choice, cancel: cancel, sent: time.Now()}

	member.AddPending(fresh, long)
	request := f.request
	request.Model, _ = f.router.engineModel(request.Model)
	stream, err := f.router.port(member).Submit(ctx, request)
	member.AddPending(-fresh, long)
	if err != nil {
		cancel()
		return err
	}
	a.answer = stream
	f.current = a
	return nil
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
		frame, err := f.current.answer.Next(f.ctx)
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
		f.release()
		if err = f.start(err); err != nil {
			return submit.Frame{}, f.fail(err)
		}
	}
}

// take checks one frame and learns from it. It returns false when the frame is
// to be dropped.
func (f *flight) take(frame submit.Frame) (bool, error) {
	if frame.Backlog != nil {
		f.router.directory.Observe(time.Now(), *frame.Backlog)
	}
	taken, err := f.frames.Take(frame)
	if err != nil || !taken {
		return false, err
	}
	if !f.first && frame.Tokens > 0 {
		f.first = true
		f.event(timeline.KindFirstToken, f.current.choice.Member.Name, "")
	}
	if f.frames.Complete() {
		f.router.policy.Learn(time.Now(), f.current.choice.Member, f.request.Prompt.Blocks, frame.Usage.CachedTokens)
	}
	return true, nil
}

// cut is the failure of a stream that ended without a finish.
func (f *flight) cut() error {
	return &outcome.Error{
		Code:    outcome.CodeTruncated,
		State:   outcome.Ran,
		Step:    stepAnswer,
		Peer:    f.current.choice.Member.Name,
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
	f.event(timeline.KindFinished, f.current.choice.Member.Name, "")
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
	f.current.cancel()
	f.current.answer.Close()
	f.current = nil
}

// Close implements submit.Answer.
func (f *flight) Close() error {
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done == nil {
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
