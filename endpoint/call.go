package endpoint

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// newWork returns the complete work of an attempt: prefill and decode.
func (a *Agent) newWork(t *attempt) engine.Work {
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

// generate sends w to the engine and passes the chunks of the answer to onChunk
// until one carries a finish reason. The stall timeout applies to the call and to
// each chunk; for the first chunk it is extended by stallPrefillFactor times
// prefill, the estimated prefill time.
func (a *Agent) generate(t *attempt, w engine.Work, onChunk func(context.Context, engine.Chunk) error, prefill time.Duration) error {
	ctx, stop := context.WithCancelCause(t.ctx)
	defer stop(nil)
	stallTimer := time.AfterFunc(a.cfg.StallTimeout, func() { stop(errEngineStalled) })
	defer stallTimer.Stop()
	w.Remaining = time.Until(t.entry.Deadline)
	stream, err := a.cfg.Engine.Generate(ctx, w)
	if err != nil {
		return a.callError(ctx, t, err)
	}
	t.accepted = true
	t.decide(nil)
	defer func() { _ = stream.Close() }()
	stallTimer.Reset(a.cfg.StallTimeout + stallPrefillFactor*prefill)
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return streamError(ctx, err)
		}
		stallTimer.Reset(a.cfg.StallTimeout)
		if err := onChunk(ctx, chunk); err != nil {
			return err
		}
		if chunk.Finish != engine.FinishNone {
			return nil
		}
	}
}

// stallPrefillFactor is the multiple of its estimated time that a prefill may take
// before the engine counts as stalled.
const stallPrefillFactor = 4

func (a *Agent) callError(ctx context.Context, t *attempt, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if outcome.StateOf(err) != outcome.NotRun {
		t.outcomeUnknown = true
	}
	return err
}

// streamError returns the reason why a stream ended without a finish reason.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return outcome.Fail(outcome.CodeTruncated, outcome.Ran, stepEngine, io.ErrUnexpectedEOF)
	}
	return err
}
