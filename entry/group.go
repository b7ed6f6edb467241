package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

const stepGroup = "entry.group"

const (
	reserveTimeout     = 2 * time.Second        // timeout of a reservation at one endpoint
	releaseTimeout     = 2 * time.Second        // timeout of a release at one endpoint
	meanReserveBackoff = 500 * time.Millisecond // mean backoff before members are chosen again
)

var (
	groupsReserved = metrics.NewCounter("jacinthplank_groups_reserved_total")
	groupsRefused  = metrics.NewCounter("jacinthplank_groups_refused_reservations_total")
)

// needsGroup reports whether no single endpoint can hold the request.
func (r *Router) needsGroup(req *submit.Request) bool {
	members, err := r.members(req)
	if err != nil {
		return false
	}
	longest := maxPromptTokens(members)
	return longest > 0 && requiredTokens(req) > longest
}

// startGroupAttempt makes one attempt at a group of endpoints. Either all members
// are reserved, in the order of their names, or none.
func (f *inflightRequest) startGroupAttempt() error {
	for {
		members, err := f.router.chooseGroup(&f.request, f.tried)
		if err != nil {
			return err
		}
		if err = f.admit(groupChoice(members)); err != nil {
			return err
		}
		err = f.router.reserve(f.ctx, f.request.Key(), members, &f.request, f.deadline)
		if err == nil {
			f.startGroupAnswer(members)
			return nil
		}
		if outcome.StateOf(err) != outcome.NotRun {
			return err
		}
		if err = f.waitForMemory(err); err != nil {
			return err
		}
		f.request.Attempt++ // endpoints refuse a key that has been released
	}
}

// waitForMemory waits before the next reservation attempt. The backoff is
// jittered so that groups competing for the same memory do not block one another
// for long.
func (f *inflightRequest) waitForMemory(cause error) error {
	groupsRefused.Inc()
	backoff := meanReserveBackoff/2 + time.Duration(f.router.randomBits()%uint64(meanReserveBackoff))
	if time.Until(f.deadline)-backoff <= 0 {
		return cause
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-f.ctx.Done():
		return f.contextError(outcome.From(cause))
	}
}

// chooseGroup chooses the members of a group. When no group can hold the prompt,
// the error states the limit.
func (r *Router) chooseGroup(req *submit.Request, avoid []string) ([]*directory.Member, error) {
	all, err := r.members(req)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	query := placement.Query{
		Now: now, Adapter: req.Adapter, Class: req.Class(), Tokens: req.Prompt.Tokens, Output: req.MaxTokens,
		Key: xxhash.Sum64String(req.Account), Random: r.randomBits(), Domain: r.domain,
		Distance: r.roundTrips.lookupFrom(r.domain, r.configuration()), Avoid: avoid,
		Blocked: func(m *directory.Member) bool { return r.breakers.Blocked(now, m.Name) },
	}
	if members := placement.ChooseGroup(&query, all); members != nil {
		return members, nil
	}
	if limit := placement.MaxGroupPrompt(all, req.MaxTokens); req.Prompt.Tokens > limit {
		return nil, outcome.Refuse(outcome.CodePromptTooLong, stepGroup,
			"the prompt has %d tokens; the limit is %d", req.Prompt.Tokens, max(limit, maxPromptTokens(all)-req.MaxTokens))
	}
	refused := outcome.Refuse(outcome.CodeGroupUnavailable, stepGroup, "too few endpoints are available to hold %d tokens", req.Prompt.Tokens)
	refused.RetryAfter = directory.DefaultLease
	return nil, refused
}

// groupChoice returns the choice that admission checks for a group, with the
// longest expected wait of its members.
func groupChoice(members []*directory.Member) placement.Choice {
	now := time.Now()
	choice := placement.Choice{Member: members[0], Long: true}
	for _, m := range members {
		choice.Wait = max(choice.Wait, placement.ExpectedWait(now, m, true))
	}
	return choice
}

// reserve reserves memory on every member, in order, or on none.
func (r *Router) reserve(ctx context.Context, k engine.Key, members []*directory.Member, req *submit.Request, deadline time.Time) error {
	for i, m := range members {
		tokens := engine.SegmentOf(req.Prompt.Tokens, i, len(members)).Tokens()
		if i == len(members)-1 {
			tokens += req.MaxTokens
		}
		callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		err := r.endpointClient(m).Reserve(callCtx, k, tokens, time.Until(deadline))
		cancel()
		if err != nil {
			// The failed member may hold the reservation if only its reply was lost.
			r.releaseAll(k, members[:i+1])
			return r.recordReserveFailure(m, err)
		}
	}
	groupsReserved.Inc()
	return nil
}

// recordReserveFailure reports a failed reservation to the member's breaker and
// returns its error. A reservation runs nothing, so the state of the error is
// always NotRun.
func (r *Router) recordReserveFailure(m *directory.Member, cause error) error {
	err := *outcome.From(cause)
	if err.State == outcome.NotRun {
		r.breakers.RecordRefusal(time.Now(), m.Name)
	} else {
		r.breakers.RecordFailure(time.Now(), m.Name)
	}
	err.State = outcome.NotRun
	err.Peer = m.Name
	return &err
}

// releaseAll frees what the members hold for k. It does not depend on the
// request's context, so it works after the deadline too.
func (r *Router) releaseAll(k engine.Key, members []*directory.Member) {
	for _, m := range members {
		client := r.endpointClient(m)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			// An endpoint that does not get this call frees the memory at the deadline.
			_ = client.Release(ctx, k)
		}()
	}
}

// startGroupAnswer makes the group's answer the current attempt.
func (f *inflightRequest) startGroupAnswer(members []*directory.Member) {
	last := members[len(members)-1]
	a := newAttempt(f.ctx, placement.Choice{Member: last, Long: true})
	a.group = members
	a.answer = &groupAnswer{
		router: f.router, request: f.endpointRequest(), members: members, deadline: f.deadline,
		observe: func(s submit.Frame) { f.router.directory.Observe(time.Now(), *s.Backlog) },
	}
	f.assembler.BeginAttempt(f.request.Attempt)
	for _, m := range members {
		f.recordEvent(timeline.KindPlaced, m.Name, "")
	}
	f.setCurrent(a)
}

// groupAnswer is the answer of a group. The members prefill their segments one
// after another; the last one streams the answer.
type groupAnswer struct {
	router   *Router
	request  submit.Request
	members  []*directory.Member
	deadline time.Time
	observe  func(submit.Frame)
	handles  []string
	current  submit.Answer // of the member at index len(handles)
	closed   bool
}

// Next implements submit.Answer.
func (g *groupAnswer) Next(ctx context.Context) (submit.Frame, error) {
	for len(g.handles) < len(g.members)-1 {
		if err := g.runSegment(ctx); err != nil {
			return submit.Frame{}, g.wrapError(err)
		}
	}
	if g.current == nil {
		if err := g.submitNext(ctx); err != nil {
			return submit.Frame{}, g.wrapError(err)
		}
	}
	frame, err := g.current.Next(ctx)
	if err != nil && !errors.Is(err, io.EOF) {
		err = g.wrapError(err)
	}
	return frame, err
}

// submitNext submits to the member at index len(handles).
func (g *groupAnswer) submitNext(ctx context.Context) error {
	index := len(g.handles)
	req := g.request
	req.Remaining = time.Until(g.deadline)
	req.Group = &submit.Group{Index: index, Handles: g.handles}
	for _, m := range g.members {
		req.Group.Members = append(req.Group.Members, m.Name)
	}
	a, err := g.router.endpointClient(g.members[index]).Submit(ctx, req)
	g.current = a
	return err
}

// runSegment runs the prefill of one member and stores the handle of its KV memory.
func (g *groupAnswer) runSegment(ctx context.Context) error {
	if err := g.submitNext(ctx); err != nil {
		return err
	}
	defer func() { g.current = nil }()
	for {
		frame, err := g.current.Next(ctx)
		if err != nil {
			g.current.Close()
			return err
		}
		if frame.Backlog != nil {
			g.observe(frame)
		}
		if frame.Finish == engine.FinishNone {
			continue
		}
		if frame.Handle == "" {
			g.current.Close()
			return outcome.Fail(outcome.CodeGroupUnavailable, outcome.Ran, stepGroup, errNoHandle)
		}
		g.handles = append(g.handles, frame.Handle)
		return nil
	}
}

var errNoHandle = errors.New("a segment finished without a handle of its KV memory")

// wrapError adds the failed member to an error. If earlier members ran their
// segments, the state NotRun becomes Ran.
func (g *groupAnswer) wrapError(cause error) error {
	err := *outcome.From(cause)
	if len(g.handles) > 0 && err.State == outcome.NotRun {
		err.State = outcome.Ran
	}
	if err.Peer == "" {
		err.Peer = g.members[len(g.handles)].Name
	}
	return &err
}

// Close implements submit.Answer. It frees what every member holds.
func (g *groupAnswer) Close() error {
	if g.closed {
		return nil
	}
	g.closed = true
	if g.current != nil {
		g.current.Close()
	}
	g.router.releaseAll(g.request.Key(), g.members)
	return nil
}
