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
		wake(a.expiryWake)
		return nil
	}
	return a.reportRefusal(submit.Request{ID: k.Request, Attempt: k.Attempt}, outcome.From(err))
}

func (a *Agent) reserve(k engine.Key, tokens int, deadline time.Time) error {
	switch {
	case !a.ready:
		return outcome.Refuse(outcome.CodeNoEndpoint, stepReserve, "the endpoint has not connected to its engine yet")
	case a.draining:
		return outcome.Refuse(outcome.CodeEndpointLeaving, stepReserve, "the endpoint is draining and accepts no new work")
	}
	blocks := a.rates.Blocks(tokens)
	if _, held := a.ledger.Lease(k); !held && a.ledger.Free()-blocks < a.shortBlocks() {
		return outcome.Refuse(outcome.CodeMemoryReserved, stepReserve, "%d memory blocks requested, %d free", blocks, a.ledger.Free())
	}
	return a.ledger.Reserve(k, blocks, deadline)
}

// Release implements submit.Reserver. It does not wait for the engine, which is
// told to cancel until it confirms.
func (a *Agent) Release(_ context.Context, k engine.Key) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.attempts[k]; t != nil {
		t.keepMemory = false
		t.cancel(errCallerCanceled)
		return nil
	}
	if a.ready && a.ledger.Release(k, time.Now()) {
		wake(a.cancelWake)
	}
	return nil
}

// startGroupMember starts a group member in the memory reserved for it. The caller
// holds a.mu.
func (a *Agent) startGroupMember(t *attempt, now time.Time) *outcome.Error {
	lease, ok := a.ledger.Lease(t.entry.Key)
	if !ok || lease.State != ledger.Reserved {
		return outcome.Refuse(outcome.CodeGroupUnavailable, stepReserve, "no memory is reserved for the attempt")
	}
	group := t.request.Group
	if group.Index < 0 || group.Index >= len(group.Members) {
		return outcome.Refuse(outcome.CodeInvalidRequest, stepReserve, "group member index %d is out of range for %d members", group.Index, len(group.Members))
	}
	segment := engine.SegmentOf(t.request.Prompt.Tokens, group.Index, len(group.Members))
	t.cached = segment.First
	t.entry.Long = true
	t.entry.Estimate.Blocks = lease.Blocks
	t.entry.Estimate.Prefill = a.rates.Prefill(segment.First, segment.Last)
	t.entry.Estimate.EquivalentTokens = a.rates.EquivalentTokens(segment.First, segment.Last)
	if t.entry.Estimate.Prefill > t.request.Remaining {
		return outcome.Refuse(outcome.CodeDeadlineInfeasible, stepReserve, "estimated prefill takes %v, but only %v remain until the deadline", t.entry.Estimate.Prefill, t.request.Remaining)
	}
	t.keepMemory = !isLastMember(group)
	if t.keepMemory {
		t.entry.Estimate.Decode = 0
	}
	a.attempts[t.entry.Key] = t
	a.record(timeline.KindAdmitted, t, "", "member of a group")
	a.queue.StartReserved(t.entry, now)
	a.start(t, now)
	return nil
}

func isLastMember(g *submit.Group) bool { return g.Index == len(g.Members)-1 }

// addSegment restricts w to the segment of one group member. Only the last member
// decodes.
func addSegment(w *engine.Work, r submit.Request) {
	segment := engine.SegmentOf(r.Prompt.Tokens, r.Group.Index, len(r.Group.Members))
	w.Segment = &segment
	w.ContextHandles = r.Group.Handles
	if !isLastMember(r.Group) {
		w.MaxTokens, w.Offset, w.Generated = 0, 0, ""
	}
}

// exportSegment makes a finished segment readable by the following members and
// returns its handle, empty for the last member.
func (a *Agent) exportSegment(ctx context.Context, t *attempt) (string, error) {
	if isLastMember(t.request.Group) {
		return "", nil
	}
	call, cancel := context.WithTimeout(ctx, a.cfg.CallTimeout)
	defer cancel()
	return a.cfg.Engine.Export(call, t.entry.Key)
}
