package endpoint

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/ledger"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Reserve implements submit.Reserver.
func (a *Agent) Reserve(_ context.Context, k engine.Key, tokens int, remaining time.Duration) error {
	a.mu.Lock()
	err := a.reserve(k, tokens, time.Now().Add(remaining+leaseGrace))
	a.mu.Unlock()
	if err == nil {
		wake(a.expiry)
		return nil
	}
	return a.decline(submit.Request{ID: k.Request, Attempt: k.Attempt}, outcome.From(err))
}

func (a *Agent) reserve(k engine.Key, tokens int, deadline time.Time) error {
	switch {
	case !a.ready:
		return outcome.Refuse(outcome.CodeNoEndpoint, stepReserve, "the endpoint has not met its engine yet")
	case a.leaving:
		return outcome.Refuse(outcome.CodeLeaving, stepReserve, "the endpoint takes no new work")
	}
	blocks := a.rates.Blocks(tokens)
	if _, held := a.ledger.Lease(k); !held && a.ledger.Free()-blocks < a.shortBlocks() {
		return outcome.Refuse(outcome.CodeMemoryReserved, stepReserve, "%d blocks asked, %d free", blocks, a.ledger.Free())
	}
	return a.ledger.Reserve(k, blocks, deadline)
}

// Release implements submit.Reserver. It returns at once: the engine is told to
// cancel until it confirms.
func (a *Agent) Release(_ context.Context, k engine.Key) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.attempts[k]; t != nil {
		t.held = false
		t.cancel(errAbandoned)
		return nil
	}
	if a.ready && a.ledger.Release(k, time.Now()) {
		wake(a.tidy)
	}
	return nil
}

// beginMember starts a member of a group on the memory reserved for it. a.mu is
// held.
func (a *Agent) beginMember(t *attempt, now time.Time) *outcome.Error {
	lease, ok := a.ledger.Lease(t.entry.Key)
	if !ok || lease.State != ledger.Reserved {
		return outcome.Refuse(outcome.CodeGroupUnavailable, stepReserve, "no memory is reserved for the attempt")
	}
	group := t.request.Group
	if group.Index < 0 || group.Index >= len(group.Members) {
		return outcome.Refuse(outcome.CodeInvalidRequest, stepReserve, "member %d of %d", group.Index, len(group.Members))
	}
	segment := engine.SegmentOf(t.request.Prompt.Tokens, group.Index, len(group.Members))
	t.cached = segment.First
	t.entry.Long = true
	t.entry.Estimate.Blocks = lease.Blocks
	t.entry.Estimate.Prefill = a.rates.Prefill(segment.First, segment.Last)
	t.entry.Estimate.Equivalents = a.rates.Equivalents(segment.First, segment.Last)
	if t.entry.Estimate.Prefill > t.request.Remaining {
		return outcome.Refuse(outcome.CodeDeadline, stepReserve, "%v of work do not fit into %v", t.entry.Estimate.Prefill, t.request.Remaining)
	}
	t.held = !isLast(group)
	if t.held {
		t.entry.Estimate.Decode = 0
	}
	a.attempts[t.entry.Key] = t
	a.record(timeline.KindAdmitted, t, "", "member of a group")
	a.queue.StartReserved(t.entry, now)
	a.begin(t, now)
	return nil
}

func isLast(g *submit.Group) bool { return g.Index == len(g.Members)-1 }

// addSegment makes w the work of one member: the last one decodes as well.
func addSegment(w *engine.Work, r submit.Request) {
	segment := engine.SegmentOf(r.Prompt.Tokens, r.Group.Index, len(r.Group.Members))
	w.Segment = &segment
	w.Context = r.Group.Handles
	if !isLast(r.Group) {
		w.MaxTokens, w.Offset, w.Generated = 0, 0, ""
	}
}

// export makes a finished segment readable by the members after this one.
func (a *Agent) export(ctx context.Context, t *attempt) (string, error) {
	if isLast(t.request.Group) {
		return "", nil
	}
	call, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	return a.cfg.Engine.Export(call, t.entry.Key)
}
