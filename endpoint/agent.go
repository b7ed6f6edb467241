// Package endpoint implements the agent that runs beside one engine and is the
// only component that sends it work. The agent keeps an exact ledger of the
// engine's memory, orders the queue, reports a request as not run only if it
// never reached the engine, splits long prefill into chunks, streams answers, and
// frees everything an attempt held, however it ends.
package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/admission"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/expect"
	"github.com/jacinthplank/jacinthplank/ledger"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/work"
)

// Step names used in errors and events.
const (
	stepAdmit   = "endpoint.admit"
	stepEngine  = "endpoint.engine"
	stepReserve = "endpoint.reserve"
	stepOrder   = "endpoint.order"
)

// Agent serves the requests of one engine. It accepts requests once Serve has
// connected to the engine.
type Agent struct {
	cfg        Config
	expiryWake chan struct{} // wakes watchDeadlines
	cancelWake chan struct{} // wakes reconcileLoop to send cancels
	orderMu    sync.Mutex    // serializes orders

	mu            sync.Mutex
	ready         bool
	draining      bool
	description   engine.Description
	rates         work.Rates
	answerLengths *expect.Estimator
	ledger        *ledger.Ledger
	queue         *admission.Queue
	attempts      map[engine.Key]*attempt
	cache         *cacheView
	scheduler     *prefillScheduler
	drained       chan struct{} // closed when draining and no attempt is left
	fence         uint64
	fenceKnown    bool
}

var _ submit.Endpoint = (*Agent)(nil)

// New returns an agent that refuses all work until Serve has connected to the
// engine.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:           cfg,
		expiryWake:    make(chan struct{}, 1),
		cancelWake:    make(chan struct{}, 1),
		answerLengths: expect.New(),
		attempts:      make(map[engine.Key]*attempt),
		cache:         newCacheView(),
		scheduler:     newPrefillScheduler(cfg.ChunkTime, cfg.MaxPrefillWait),
		drained:       make(chan struct{}),
	}
}

// Submit implements submit.Submitter. It returns once the engine has accepted
// the attempt or the attempt is refused. A refused attempt never reaches the
// engine.
func (a *Agent) Submit(ctx context.Context, r submit.Request) (submit.Answer, error) {
	t, err := a.admit(r, time.Now())
	if err != nil {
		return nil, a.reportRefusal(r, err)
	}
	select {
	case <-t.decided:
	case <-ctx.Done():
		_ = t.Close()
		<-t.decided
	}
	if t.refusal != nil {
		return nil, a.reportRefusal(r, t.refusal)
	}
	return t, nil
}

// admit queues an attempt. A group member, whose memory is already reserved,
// starts at once.
func (a *Agent) admit(r submit.Request, now time.Time) (*attempt, *outcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkAdmissible(r); err != nil {
		return nil, err
	}
	t := a.newAttempt(r, now)
	if r.Group != nil {
		if err := a.startGroupMember(t, now); err != nil {
			return nil, err
		}
		return t, nil
	}
	if err := a.queue.Offer(t.entry, a.ledger.Free(), now); err != nil {
		return nil, err
	}
	a.attempts[t.entry.Key] = t
	a.record(timeline.KindAdmitted, t, "", a.queueDetail())
	a.dispatch(now)
	wake(a.expiryWake)
	return t, nil
}

// checkAdmissible returns a refusal for a request that the endpoint cannot accept
// now or ever.
func (a *Agent) checkAdmissible(r submit.Request) *outcome.Error {
	switch {
	case !a.ready:
		e := outcome.Refuse(outcome.CodeNoEndpoint, stepAdmit, "the endpoint has not connected to its engine yet")
		e.RetryAfter = a.cfg.ReconcileEvery
		return e
	case a.draining:
		return outcome.Refuse(outcome.CodeEndpointLeaving, stepAdmit, "the endpoint is draining and accepts no new work")
	case a.attempts[r.Key()] != nil:
		return &outcome.Error{Code: outcome.CodeConflict, State: outcome.Unknown, Step: stepAdmit, Message: "the endpoint already has this attempt"}
	case r.Group == nil && a.rates.Blocks(r.Prompt.Tokens+r.MaxTokens) > a.description.MemoryBlocks:
		return outcome.Refuse(outcome.CodePromptTooLong, stepAdmit, "the request needs %d tokens, the engine memory holds %d",
			r.Prompt.Tokens+r.MaxTokens, a.description.MemoryBlocks*a.description.MemoryTokens)
	}
	return nil
}

// dispatch refuses queued attempts that can no longer finish in time and starts
// those that may start. The caller holds a.mu, so that reserving memory, leaving
// the queue and committing the lease are one atomic step.
func (a *Agent) dispatch(now time.Time) {
	a.refuseAll(a.queue.Expire(now))
	take := func(r admission.Request) bool {
		err := a.ledger.Reserve(r.Key, r.Estimate.Blocks, r.Deadline.Add(leaseGrace))
		if err != nil && outcome.From(err).Code == outcome.CodeConflict {
			a.refuseQueued(r.Key, &outcome.Error{Code: outcome.CodeConflict, State: outcome.Unknown, Step: stepAdmit, Message: "the attempt is already known to the memory ledger", Cause: err})
		}
		return err == nil
	}
	for _, r := range a.queue.Next(now, a.ledger.Free, take) {
		a.start(a.attempts[r.Key], now)
	}
}

// leaseGrace is added to an attempt's deadline to get the deadline of its lease.
// An attempt normally ends itself at its deadline; the lease is the fallback.
const leaseGrace = time.Second

// refuseQueued ends a queued attempt with err.
func (a *Agent) refuseQueued(k engine.Key, err *outcome.Error) {
	t := a.attempts[k]
	if t == nil || !a.queue.Cancel(k) {
		return
	}
	delete(a.attempts, k)
	t.refuse(err)
}

// start commits the lease of an attempt and starts its goroutine. The caller
// holds a.mu.
func (a *Agent) start(t *attempt, now time.Time) {
	a.ledger.Commit(t.entry.Key)
	t.started = now
	a.record(timeline.KindStarted, t, "", "")
	go a.run(t)
}

// reportRefusal adds the peer and the backlog to a refusal, counts it and records
// it.
func (a *Agent) reportRefusal(r submit.Request, e *outcome.Error) error {
	e.Peer = a.cfg.Name
	countRefusal(e)
	a.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindRefused, Request: r.ID, Attempt: r.Attempt, Account: r.Account,
		Endpoint: a.cfg.Name, Step: e.Step, Outcome: string(e.Code), Detail: e.State.String(),
	})
	return &submit.ErrorWithBacklog{Err: e, Backlog: a.Backlog()}
}

// Backlog returns the load report that the endpoint attaches to answers and
// refusals.
func (a *Agent) Backlog() submit.Backlog {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog()
}

func (a *Agent) backlog() submit.Backlog {
	b := submit.Backlog{Endpoint: a.cfg.Name, Leaving: a.draining}
	if !a.ready {
		return b
	}
	now := time.Now()
	free := a.ledger.Free()
	b.QueuedTokens = a.queue.QueuedTokens()
	b.Running = a.queue.Running()
	b.FreeBlocks = free
	b.Wait = a.queue.Wait(false, 0, free, now)
	b.LongWait = a.queue.Wait(true, 0, free, now)
	return b
}

// Drain refuses new work and all queued attempts from now on. Running attempts
// are finished; the returned channel is closed after the last one.
func (a *Agent) Drain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return a.drained
	}
	a.draining = true
	a.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindDraining, Endpoint: a.cfg.Name})
	a.cfg.Log.Info("endpoint is draining", "endpoint", a.cfg.Name, "running", len(a.attempts))
	if a.ready {
		a.refuseAll(a.queue.Drain())
	}
	a.closeIfDrained()
	return a.drained
}

// refuseAll refuses attempts that were removed from the queue. The caller holds
// a.mu.
func (a *Agent) refuseAll(refused []admission.Refusal) {
	for _, r := range refused {
		t := a.attempts[r.Request.Key]
		delete(a.attempts, r.Request.Key)
		t.refuse(r.Err)
	}
}

// shortBlocks returns the number of memory blocks that long attempts leave free
// for short ones.
func (a *Agent) shortBlocks() int {
	return int(a.cfg.ShortMemoryShare * float64(a.description.MemoryBlocks))
}

// closeIfDrained closes drained after the last attempt of a draining agent.
func (a *Agent) closeIfDrained() {
	if !a.draining || len(a.attempts) > 0 {
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}

func (a *Agent) record(kind timeline.Kind, t *attempt, result, detail string) {
	a.cfg.Recorder.Record(timeline.Event{
		Kind: kind, Request: t.request.ID, Attempt: t.request.Attempt, Account: t.request.Account,
		Endpoint: a.cfg.Name, Outcome: result, Detail: detail,
	})
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
