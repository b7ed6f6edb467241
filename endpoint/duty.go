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

// Serve implements supervise.Duty: it meets the engine, then watches deadlines
// and keeps ledger and engine alike until ctx ends.
func (a *Agent) Serve(ctx context.Context) error {
	if err := a.meet(ctx); err != nil {
		return err
	}
	var loops sync.WaitGroup
	loops.Go(func() { a.watchDeadlines(ctx) })
	loops.Go(func() { a.reconcileLoop(ctx) })
	loops.Wait()
	return context.Cause(ctx)
}

// meet learns what the engine is and holds. Nothing is admitted before, so what
// an earlier run of the agent left behind is never over-committed.
func (a *Agent) meet(ctx context.Context) error {
	if _, met := a.Description(); met {
		return nil // the duty was restarted: deadlines are watched whatever the engine does
	}
	for {
		description, err := called(ctx, a.cfg.CallTimeout, a.cfg.Engine.Describe)
		if err == nil {
			held, err := called(ctx, a.cfg.CallTimeout, a.cfg.Engine.Holdings)
			if err == nil {
				a.setUp(description, held, time.Now())
				return nil
			}
		}
		if !pause(ctx, a.cfg.ReconcileEvery) {
			return context.Cause(ctx)
		}
	}
}

func (a *Agent) setUp(d engine.Description, held []engine.Holding, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.description = d
	a.rates = work.RatesOf(d)
	a.ledger = ledger.New(ledger.Config{Blocks: d.MemoryBlocks, OrphanGrace: a.cfg.OrphanGrace, FreedKeyRetention: a.cfg.Remember})
	a.ledger.Reconcile(nil, held, now)
	a.queue = admission.New(admission.Limits{
		MaxRunning:   a.cfg.Running,
		MaxLong:      a.cfg.Long,
		MaxQueued:    a.cfg.Queued,
		ShortBlocks:  a.shortBlocks(),
		LongSlowdown: min(1+a.cfg.ChunkTime.Seconds()*d.DecodePerSec, maxLongStretch),
	})
	a.ready = true
	a.cfg.Log.Info("endpoint met its engine", "endpoint", a.cfg.Name, "models", d.Models, "memory_blocks", d.MemoryBlocks, "orphaned_blocks", a.ledger.Orphaned())
}

// maxLongStretch bounds how much slower answers are reckoned beside a long
// prefill.
const maxLongStretch = 8

// Description returns what the engine said of itself, and whether it was met.
func (a *Agent) Description() (engine.Description, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.description, a.ready
}

// watchDeadlines answers queued work that can no longer finish and ends leases
// whose deadline has passed.
func (a *Agent) watchDeadlines(ctx context.Context) {
	for {
		timer := time.NewTimer(a.expire(time.Now()))
		select {
		case <-timer.C:
		case <-a.expiry:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// maxExpiryWait bounds the time between two looks at the deadlines.
const maxExpiryWait = time.Second

// expire ends what is due and returns the time until the next.
func (a *Agent) expire(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ledger.Expire(now)) > 0 {
		wake(a.tidy)
	}
	a.pump(now)
	a.noteDrained()
	wait := maxExpiryWait
	for _, at := range [...]time.Time{a.queue.NextExpiry(), a.ledger.NextDeadline()} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(now))
		}
	}
	return max(wait, time.Millisecond)
}

// reconcileLoop tells the engine to cancel what is being released until it
// confirms, compares its holdings with the ledger and reads its cache events.
func (a *Agent) reconcileLoop(ctx context.Context) {
	next := time.Now().Add(a.cfg.ReconcileEvery)
	for {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
			a.reconcile(ctx)
			a.readEvents(ctx)
			next = time.Now().Add(a.cfg.ReconcileEvery)
		case <-a.tidy:
			a.cancelAll(ctx, a.releasing())
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (a *Agent) releasing() []engine.Key {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Releasing()
}

// cancelAll stops at the first key that the engine did not confirm: the next
// reconciliation tries again.
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
		a.confirm(k)
	}
}

func (a *Agent) confirm(k engine.Key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.ledger.Confirm(k, now)
	a.pump(now)
}

func (a *Agent) reconcile(ctx context.Context) {
	asked := a.releasing()
	held, err := called(ctx, a.cfg.CallTimeout, a.cfg.Engine.Holdings)
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
	a.pump(now)
	a.mu.Unlock()
	a.cancelAll(ctx, overdue)
}

func (a *Agent) readEvents(ctx context.Context) {
	a.mu.Lock()
	after := a.cache.sequence
	a.mu.Unlock()
	events, err := called(ctx, a.cfg.CallTimeout, func(ctx context.Context) ([]engine.CacheEvent, error) {
		return a.cfg.Engine.CacheEvents(ctx, after)
	})
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cache.apply(events)
}

// Order passes an order to the engine when its fencing number is at least the
// highest seen, also for engines that ignore the number. After a start all
// orders are refused until Learn.
func (a *Agent) Order(ctx context.Context, o engine.Order) error {
	a.orders.Lock()
	defer a.orders.Unlock()
	if err := a.takeFence(o.Fence); err != nil {
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
	description, err := called(ctx, a.cfg.CallTimeout, a.cfg.Engine.Describe)
	if err != nil {
		return nil // the order was carried out; the description is read again at the next order
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.description = description
	return nil
}

func (a *Agent) takeFence(fence uint64) *outcome.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *outcome.Error
	switch {
	case !a.fenceKnown:
		refused = outcome.Refuse(outcome.CodeStaleFence, stepOrder, "the fencing number is not known yet")
	case fence < a.fence:
		refused = outcome.Refuse(outcome.CodeStaleFence, stepOrder, "fencing number %d is below %d", fence, a.fence)
	default:
		a.fence = fence
		return nil
	}
	refused.Peer = a.cfg.Name
	return refused
}

// Learn tells the fencing number that is in force. A lower one than known
// changes nothing.
func (a *Agent) Learn(fence uint64) {
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

// called makes a call that should be answered at once.
func called[T any](ctx context.Context, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
