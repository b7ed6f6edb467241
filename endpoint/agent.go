// Package endpoint is the duty beside one engine. It alone decides what the
// engine is given: it keeps the exact ledger of the engine's memory, orders the
// queue, refuses with a true "not run", sends long prefill in chunks, passes on
// answers and frees whatever an attempt held, however it ended.
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

// Steps named in errors and events.
const (
	stepAdmit   = "endpoint.admit"
	stepEngine  = "endpoint.engine"
	stepReserve = "endpoint.reserve"
	stepOrder   = "endpoint.order"
)

// Agent is the endpoint duty. It takes requests once Serve has met the engine.
type Agent struct {
	cfg    Config
	expiry chan struct{} // wakes the loop that watches deadlines
	tidy   chan struct{} // wakes the loop that talks to the engine
	orders sync.Mutex    // one order at a time

	mu          sync.Mutex
	ready       bool
	leaving     bool
	description engine.Description
	rates       work.Rates
	lengths     *expect.Estimator
	ledger      *ledger.Ledger
	queue       *admission.Queue
	attempts    map[engine.Key]*attempt
	cache       *cacheView
	turns       *turns
	drained     chan struct{} // closed when leaving and nothing is left
	fence       uint64
	fenceKnown  bool
}

var _ submit.Endpoint = (*Agent)(nil)

// New returns an agent that refuses all work until Serve has met the engine.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	return &Agent{
		cfg:      cfg,
		expiry:   make(chan struct{}, 1),
		tidy:     make(chan struct{}, 1),
		lengths:  expect.New(),
		attempts: make(map[engine.Key]*attempt),
		cache:    newCacheView(),
		turns:    newTurns(cfg.ChunkTime, cfg.MaxPause),
		drained:  make(chan struct{}),
	}
}

// Submit implements submit.Submitter. It returns when the engine has the attempt
// or when the attempt is refused; the engine never sees a refused one.
func (a *Agent) Submit(ctx context.Context, r submit.Request) (submit.Answer, error) {
	t, err := a.admit(r, time.Now())
	if err != nil {
		return nil, a.decline(r, err)
	}
	select {
	case <-t.decided:
	case <-ctx.Done():
		_ = t.Close()
		<-t.decided
	}
	if t.refusal != nil {
		return nil, a.decline(r, t.refusal)
	}
	return t, nil
}

// admit queues an attempt, or begins it when its memory was reserved for a group.
func (a *Agent) admit(r submit.Request, now time.Time) (*attempt, *outcome.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(r); err != nil {
		return nil, err
	}
	t := a.newAttempt(r, now)
	if r.Group != nil {
		if err := a.beginMember(t, now); err != nil {
			return nil, err
		}
		return t, nil
	}
	if err := a.queue.Offer(t.entry, a.ledger.Free(), now); err != nil {
		return nil, err
	}
	a.attempts[t.entry.Key] = t
	a.record(timeline.KindAdmitted, t, "", a.ahead())
	a.pump(now)
	wake(a.expiry)
	return t, nil
}

// check refuses what this endpoint can never or not now take.
func (a *Agent) check(r submit.Request) *outcome.Error {
	switch {
	case !a.ready:
		e := outcome.Refuse(outcome.CodeNoEndpoint, stepAdmit, "the endpoint has not met its engine yet")
		e.RetryAfter = a.cfg.ReconcileEvery
		return e
	case a.leaving:
		return outcome.Refuse(outcome.CodeLeaving, stepAdmit, "the endpoint takes no new work")
	case a.attempts[r.Key()] != nil:
		return &outcome.Error{Code: outcome.CodeConflict, State: outcome.Unknown, Step: stepAdmit, Message: "the attempt is here already"}
	case r.Group == nil && a.rates.Blocks(r.Prompt.Tokens+r.MaxTokens) > a.description.MemoryBlocks:
		return outcome.Refuse(outcome.CodePromptTooLong, stepAdmit, "%d tokens, the engine holds %d",
			r.Prompt.Tokens+r.MaxTokens, a.description.MemoryBlocks*a.description.MemoryTokens)
	}
	return nil
}

// pump gives back what can no longer finish and starts what may start. a.mu is
// held: the reservation, the removal from the queue and the commitment are one
// step.
func (a *Agent) pump(now time.Time) {
	a.giveBack(a.queue.Expire(now))
	take := func(r admission.Request) bool {
		err := a.ledger.Reserve(r.Key, r.Estimate.Blocks, r.Deadline.Add(leaseGrace))
		if err != nil && outcome.From(err).Code == outcome.CodeConflict {
			a.refuseQueued(r.Key, &outcome.Error{Code: outcome.CodeConflict, State: outcome.Unknown, Step: stepAdmit, Message: "the attempt was here before", Cause: err})
		}
		return err == nil
	}
	for _, r := range a.queue.Next(now, a.ledger.Free, take) {
		a.begin(a.attempts[r.Key], now)
	}
}

// leaseGrace is how much longer than its attempt a lease lasts: the attempt ends
// itself at its deadline, the lease is what remains should it not.
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

// begin commits an attempt and starts its goroutine. a.mu is held.
func (a *Agent) begin(t *attempt, now time.Time) {
	a.ledger.Commit(t.entry.Key)
	t.started = now
	a.record(timeline.KindStarted, t, "", "")
	go a.run(t)
}

// decline adds peer and backlog to a refusal and counts it.
func (a *Agent) decline(r submit.Request, e *outcome.Error) error {
	e.Peer = a.cfg.Name
	countRefusal(e)
	a.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindRefused, Request: r.ID, Attempt: r.Attempt, Account: r.Account,
		Endpoint: a.cfg.Name, Step: e.Step, Outcome: string(e.Code), Detail: e.State.String(),
	})
	return &submit.ErrorWithBacklog{Err: e, Backlog: a.Backlog()}
}

// Backlog returns what the endpoint tells of itself on every answer.
func (a *Agent) Backlog() submit.Backlog {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog()
}

func (a *Agent) backlog() submit.Backlog {
	b := submit.Backlog{Endpoint: a.cfg.Name, Leaving: a.leaving}
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

// Drain refuses new work from now on and gives back what has not started. What
// runs is finished; the returned channel is closed after the last.
func (a *Agent) Drain() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return a.drained
	}
	a.leaving = true
	a.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindDraining, Endpoint: a.cfg.Name})
	a.cfg.Log.Info("endpoint is leaving", "endpoint", a.cfg.Name, "running", len(a.attempts))
	if a.ready {
		a.giveBack(a.queue.Drain())
	}
	a.noteDrained()
	return a.drained
}

// giveBack ends attempts that were taken out of the queue. a.mu is held.
func (a *Agent) giveBack(refused []admission.Refusal) {
	for _, r := range refused {
		t := a.attempts[r.Request.Key]
		delete(a.attempts, r.Request.Key)
		t.refuse(r.Err)
	}
}

// shortBlocks is the memory that long attempts leave free.
func (a *Agent) shortBlocks() int {
	return int(a.cfg.ShortMemory * float64(a.description.MemoryBlocks))
}

func (a *Agent) noteDrained() {
	if !a.leaving || len(a.attempts) > 0 {
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
