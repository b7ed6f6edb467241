package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// direct passes requests to an engine one by one, without ledger or queue.
type direct struct {
	name    string
	engine  engine.Engine
	running atomic.Int64
	leaving atomic.Bool
}

// Name implements supervise.Duty.
func (d *direct) Name() string { return "endpoint" }

// Serve implements supervise.Duty.
func (d *direct) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Submit implements submit.Submitter.
func (d *direct) Submit(ctx context.Context, r submit.Request) (submit.Answer, error) {
	if d.leaving.Load() {
		return nil, outcome.Refuse(outcome.CodeLeaving, "endpoint.admit", "the endpoint is leaving")
	}
	stream, err := d.engine.Generate(ctx, engine.Work{
		Key:       r.Key(),
		Model:     r.Model,
		Adapter:   r.Adapter,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Generated: r.Generated,
		Offset:    r.Offset,
		Remaining: r.Remaining,
	})
	if err != nil {
		return nil, err
	}
	d.running.Add(1)
	return &directAnswer{direct: d, key: r.Key(), stream: stream, offset: r.Offset}, nil
}

// Reserve implements submit.Reserver.
func (d *direct) Reserve(context.Context, engine.Key, int, time.Duration) error {
	return outcome.Refuse(outcome.CodeUnsupported, "endpoint.reserve", "no groups here")
}

// Release implements submit.Reserver.
func (d *direct) Release(ctx context.Context, k engine.Key) error { return d.engine.Cancel(ctx, k) }

// Order implements wire.Orderer.
func (d *direct) Order(ctx context.Context, o engine.Order) error { return d.engine.Order(ctx, o) }

// Backlog tells of the endpoint.
func (d *direct) Backlog() submit.Backlog {
	return submit.Backlog{Endpoint: d.name, Running: d.InProgress(), Leaving: d.leaving.Load()}
}

// InProgress is the number of requests in progress.
func (d *direct) InProgress() int { return int(d.running.Load()) }

// Drain refuses new work.
func (d *direct) Drain() { d.leaving.Store(true) }

type directAnswer struct {
	direct *direct
	key    engine.Key
	stream engine.Stream
	offset int
	closed atomic.Bool
}

// Next implements submit.Answer.
func (a *directAnswer) Next(ctx context.Context) (submit.Frame, error) {
	chunk, err := a.stream.Next(ctx)
	if err != nil {
		return submit.Frame{}, err
	}
	frame := submit.Frame{
		Request: a.key.Request,
		Attempt: a.key.Attempt,
		Offset:  a.offset,
		Tokens:  chunk.Tokens,
		Text:    chunk.Text,
		Finish:  chunk.Finish,
		Usage:   chunk.Usage,
	}
	a.offset += chunk.Tokens
	return frame, nil
}

// Close implements submit.Answer.
func (a *directAnswer) Close() error {
	if a.closed.Swap(true) {
		return nil
	}
	a.direct.running.Add(-1)
	_ = a.stream.Close()
	return a.direct.engine.Cancel(context.Background(), a.key)
}
