package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/admission"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/ledger"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/work"
)

var _ supervise.Duty = (*Agent)(nil)

// Name implements supervise.Duty.
func (a *Agent) Name() string { return "endpoint " + a.cfg.Name }

// Serve implements supervise.Duty. It connects to the engine, then watches
// deadlines and reconciles the ledger with the engine until ctx ends.
func (a *Agent) Serve(ctx context.Context) error {
	if err := a.connect(ctx); err != nil {
		return err
	}
	var loops sync.WaitGroup
	loops.Go(func() { a.watchDeadlines(ctx) })
	loops.Go(func() { a.reconcileLoop(ctx) })
	loops.Wait()
	return context.Cause(ctx)
}

// connect reads the engine's description and holdings. Nothing is admitted before
// that, so memory still held for an earlier run of the agent is not reserved a
// second time.
func (a *Agent) connect(ctx context.Context) error {
	if _, connected := a.Description(); connected {
		return nil // Serve was restarted: watch deadlines even if the engine does not answer
	}
	for {
		description, err := callWithTimeout(ctx, a.cfg.CallTimeout, a.cfg.Engine.Describe)
		if err == nil {
			held, err := callWithTimeout(ctx, a.cfg.CallTimeout, a.cfg.Engine.Holdings)
			if err == nil {
				a.initialize(description, held, time.Now())
				return nil
			}
		}
		if !sleep(ctx, a.cfg.ReconcileEvery) {
			return context.Cause(ctx)
		}
	}
}

func (a *Agent) initialize(d engine.Description, held []engine.Holding, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.description = d
	a.rates = work.RatesOf(d)
	a.ledger = ledger.New(ledger.Config{Blocks: d.MemoryBlocks, OrphanGrace: a.cfg.OrphanGrace, FreedKeyRetention: a.cfg.FreedKeyRetention})
	a.ledger.Reconcile(nil, held, now)
	a.queue = admission.New(admission.Limits{
		MaxRunning:   a.cfg.MaxRunning,
		MaxLong:      a.cfg.MaxLong,
		MaxQueued:    a.cfg.MaxQueued,
		ShortBlocks:  a.shortBlocks(),
		LongSlowdown: min(1+a.cfg.ChunkTime.Seconds()*d.DecodePerSec, maxLongSlowdown),
	})
	a.ready = true
	a.cfg.Log.Info("endpoint connected to its engine", "endpoint", a.cfg.Name, "models", d.Models, "memory_blocks", d.MemoryBlocks, "orphaned_blocks", a.ledger.Orphaned())
}

// maxLongSlowdown is the maximum factor by which decode is assumed to be slower
// while a long prefill runs.
const maxLongSlowdown = 8

// Description returns the engine's description and reports whether the agent has
// connected to the engine.
func (a *Agent) Description() (engine.Description, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.description, a.ready
}

// watchDeadlines refuses queued attempts that can no longer finish in time and
// releases leases whose deadline has passed.
func (a *Agent) watchDeadlines(ctx context.Context) {
	for {
		timer := time.NewTimer(a.expireDue(time.Now()))
		select {
		case <-timer.C:
		case <-a.expiryWake:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// maxExpiryWait is the maximum time between two deadline checks.
const maxExpiryWait = time.Second

// expireDue handles passed deadlines and returns the time until the next check.
func (a *Agent) expireDue(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ledger.Expire(now)) > 0 {
		wake(a.cancelWake)
	}
	a.dispatch(now)
	a.closeIfDrained()
	wait := maxExpiryWait
	for _, at := range [...]time.Time{a.queue.NextExpiry(), a.ledger.NextDeadline()} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(now))
		}
	}
	return max(wait, time.Millisecond)
}

// reconcileLoop cancels released attempts at the engine until it confirms, and
// periodically reconciles the ledger with the engine's holdings and reads its
// cache events.
func (a *Agent) reconcileLoop(ctx context.Context) {
	next := time.Now().Add(a.cfg.ReconcileEvery)
	for {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
			a.reconcile(ctx)
			a.readCacheEvents(ctx)
			next = time.Now().Add(a.cfg.ReconcileEvery)
		case <-a.cancelWake:
			a.cancelAll(ctx, a.releasingKeys())
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (a *Agent) releasingKeys() []engine.Key {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Releasing()
}

// cancelAll cancels keys at the engine. It stops at the first one that the engine
// does not confirm; the next reconciliation retries.
func (a *Agent) cancelAll(ctx context.Context, keys []engine.Key) {
	for _, k := range keys {
		call, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
		err := a.cfg.Engine.Cancel(call, k)
		cancel()
		if err != nil {
			cancelRetryTotal.Inc()
			return
		}
		canceledTotal.Inc()
		a.confirmCancel(k)
	}
}

func (a *Agent) confirmCancel(k engine.Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.ledger.Confirm(k, now)
	a.dispatch(now)
}

func (a *Agent) reconcile(ctx context.Context) {
	asked := a.releasingKeys()
	held, err := callWithTimeout(ctx, a.cfg.CallTimeout, a.cfg.Engine.Holdings)
	a.mu.Lock()
	if err != nil {
		a.cache.reset()
		a.mu.Unlock()
		return
	}
	now := time.Now()
	overdue := a.ledger.Reconcile(asked, held, now)
	for _, k := range overdue {
		if _, leased := a.ledger.Lease(k); !leased {
			orphansTotal.Inc()
			a.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindFreed, Request: k.Request, Attempt: k.Attempt, Endpoint: a.cfg.Name})
		}
	}
	a.dispatch(now)
	a.mu.Unlock()
	a.cancelAll(ctx, overdue)
}

func (a *Agent) readCacheEvents(ctx context.Context) {
	a.mu.Lock()
	after := a.cache.lastSequence
	a.mu.Unlock()
	events, err := callWithTimeout(ctx, a.cfg.CallTimeout, func(ctx context.Context) ([]engine.CacheEvent, error) {
		return a.cfg.Engine.CacheEvents(ctx, after)
	})
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cache.apply(events)
}

// Order passes an order to the engine if its fencing number is not below the
// highest seen. The agent checks this itself because some engines ignore the
// number. After a start all orders are refused until RaiseFence is called.
func (a *Agent) Order(ctx context.Context, o engine.Order) error {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	if err := a.advanceFence(o.Fence); err != nil {
		staleOrdersTotal.Inc()
		a.recordOrder(o, string(err.Code))
		return err
	}
	if err := a.cfg.Engine.Order(ctx, o); err != nil {
		failure := outcome.From(err)
		a.recordOrder(o, string(failure.Code))
		return failure
	}
	a.recordOrder(o, "")
	description, err := callWithTimeout(ctx, a.cfg.CallTimeout, a.cfg.Engine.Describe)
	if err != nil {
		return nil // the order was executed; the next order refreshes the description
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.description = description
	return nil
}

func (a *Agent) advanceFence(fence uint64) *outcome.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *outcome.Error
	switch {
	case !a.fenceKnown:
		refused = outcome.Refuse(outcome.CodeStaleFence, stepOrder, "the current fencing number is not known yet")
	case fence < a.fence:
		refused = outcome.Refuse(outcome.CodeStaleFence, stepOrder, "fencing number %d is below the highest seen, %d", fence, a.fence)
	default:
		a.fence = fence
		return nil
	}
	refused.Peer = a.cfg.Name
	return refused
}

// RaiseFence sets the current fencing number and lets orders through. A number
// lower than the known one is ignored.
func (a *Agent) RaiseFence(fence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = max(a.fence, fence)
	a.fenceKnown = true
}

func (a *Agent) recordOrder(o engine.Order, result string) {
	a.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindOrder, Endpoint: a.cfg.Name, Step: stepOrder, Outcome: result, Detail: string(o.Kind) + " " + o.Target,
	})
}

// callWithTimeout makes a short call that fails after timeout.
func callWithTimeout[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

// sleep waits for d and reports whether it did before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
