package endpoint

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// workOf returns the whole work of an attempt.
func (a *Agent) workOf(t *attempt) engine.Work {
	r := t.request
	w := engine.Work{
		Key:       t.entry.Key,
		Model:     a.cfg.EngineName(r.Model),
		Adapter:   r.Adapter,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Generated: r.Generated,
		Offset:    r.Offset,
		Priority:  engine.Priority(r.Class()),
	}
	if r.Group != nil {
		addSegment(&w, r)
	}
	return w
}

// generate gives one piece of work to the engine and hands its chunks to each,
// until the engine's explicit finish. The engine may take prefill and the stall
// limit until the first chunk.
func (a *Agent) generate(t *attempt, w engine.Work, each func(context.Context, engine.Chunk) error, prefill time.Duration) error {
	ctx, stop := context.WithCancelCause(t.ctx)
	defer stop(nil)
	watch := time.AfterFunc(a.cfg.Stall, func() { stop(errStalled) })
	defer watch.Stop()
	w.Remaining = time.Until(t.entry.Deadline)
	stream, err := a.cfg.Engine.Generate(ctx, w)
	if err != nil {
		return a.callFailed(ctx, t, err)
	}
	t.accepted = true
	t.decide(nil)
	defer func() { _ = stream.Close() }()
	watch.Reset(a.cfg.Stall + stallPrefill*prefill)
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return streamFailed(ctx, err)
		}
		watch.Reset(a.cfg.Stall)
		if err := each(ctx, chunk); err != nil {
			return err
		}
		if chunk.Finish != engine.FinishNone {
			return nil
		}
	}
}

// stallPrefill is how many times its estimate a prefill may take before the
// engine counts as stalled.
const stallPrefill = 4

func (a *Agent) callFailed(ctx context.Context, t *attempt, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if outcome.StateOf(err) != outcome.NotRun {
		t.unknown = true
	}
	return err
}

// streamFailed names why a stream ended without a finish.
func streamFailed(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return outcome.Fail(outcome.CodeTruncated, outcome.Ran, stepEngine, io.ErrUnexpectedEOF)
	}
	return err
}
