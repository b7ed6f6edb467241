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
	reserveTimeout = 2 * time.Second        // time in which an endpoint promises memory
	releaseTimeout = 2 * time.Second        // time for telling an endpoint to free a member's memory
	reservePause   = 500 * time.Millisecond // mean pause before members are chosen again
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
	longest := longestPrompt(members)
	return longest > 0 && memoryTokens(req) > longest
}

// tryGroup makes one attempt at a group of endpoints: all members are reserved
// in the order of their names, or none.
func (f *flight) tryGroup() error {
	for {
		members, err := f.router.chooseGroup(&f.request, f.avoid)
		if err != nil {
			return err
		}
		if err = f.admit(groupChoice(members)); err != nil {
			return err
		}
		err = f.router.reserve(f.ctx, f.request.Key(), members, &f.request, f.deadline)
		if err == nil {
			f.enterGroup(members)
			return nil
		}
		if outcome.StateOf(err) != outcome.NotRun {
			return err
		}
		if err = f.waitForMemory(err); err != nil {
			return err
		}
		f.request.Attempt++ // endpoints refuse a key that was released
	}
}

// waitForMemory pauses before the next try to reserve. Other groups do the same
// for another time, so that none keeps another from its memory for long.
func (f *flight) waitForMemory(cause error) error {
	groupsRefused.Inc()
	pause := reservePause/2 + time.Duration(f.router.draw()%uint64(reservePause))
	if time.Until(f.deadline)-pause <= 0 {
		return cause
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-f.ctx.Done():
		return f.ended(outcome.From(cause))
	}
}

// chooseGroup chooses the members of a group, or tells the limit.
func (r *Router) chooseGroup(req *submit.Request, avoid []string) ([]*directory.Member, error) {
	all, err := r.members(req)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	query := placement.Query{
		Now: now, Adapter: req.Adapter, Class: req.Class(), Tokens: req.Prompt.Tokens, Output: req.MaxTokens,
		Key: xxhash.Sum64String(req.Account), Random: r.draw(), Domain: r.domain,
		Distance: r.distances.from(r.domain, r.configuration()), Avoid: avoid,
		Blocked: func(m *directory.Member) bool { return r.breakers.Blocked(now, m.Name) },
	}
	if members := placement.Group(&query, all); members != nil {
		return members, nil
	}
	if limit := placement.GroupLimit(all, req.MaxTokens); req.Prompt.Tokens > limit {
		return nil, outcome.Refuse(outcome.CodePromptTooLong, stepGroup,
			"the prompt has %d tokens; the limit is %d", req.Prompt.Tokens, max(limit, longestPrompt(all)-req.MaxTokens))
	}
	refused := outcome.Refuse(outcome.CodeGroupUnavailable, stepGroup, "too few endpoints are there to hold %d tokens", req.Prompt.Tokens)
	refused.RetryAfter = directory.DefaultLease
	return nil, refused
}

// groupChoice is what admission needs to know of a group: the longest wait.
func groupChoice(members []*directory.Member) placement.Choice {
	now := time.Now()
	choice := placement.Choice{Member: members[0], Long: true}
	for _, m := range members {
		choice.Wait = max(choice.Wait, placement.ExpectedWait(now, m, true))
	}
	return choice
}

// reserve promises memory on every member, in their order, or on none.
func (r *Router) reserve(ctx context.Context, k engine.Key, members []*directory.Member, req *submit.Request, deadline time.Time) error {
	for i, m := range members {
		tokens := engine.SegmentOf(req.Prompt.Tokens, i, len(members)).Tokens()
		if i == len(members)-1 {
			tokens += req.MaxTokens
		}
		callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		err := r.port(m).Reserve(callCtx, k, tokens, time.Until(deadline))
		cancel()
		if err != nil {
			// The failed member may hold the promise too: its answer was lost.
			r.releaseAll(k, members[:i+1])
			return r.reserveFailed(m, err)
		}
	}
	groupsReserved.Inc()
	return nil
}

// reserveFailed tells the breaker. A reservation runs nothing, so that the
// request can still be told as not run.
func (r *Router) reserveFailed(m *directory.Member, cause error) error {
	err := *outcome.From(cause)
	if err.State == outcome.NotRun {
		r.breakers.Refused(time.Now(), m.Name)
	} else {
		r.breakers.Failed(time.Now(), m.Name)
	}
	err.State = outcome.NotRun
	err.Peer = m.Name
	return &err
}

// releaseAll frees what the members hold for k, also after the request's own
// time is over.
func (r *Router) releaseAll(k engine.Key, members []*directory.Member) {
	for _, m := range members {
		port := r.port(m)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			// An endpoint that misses this frees the memory at the deadline.
			_ = port.Release(ctx, k)
		}()
	}
}

// enterGroup makes the group's answer the current attempt.
func (f *flight) enterGroup(members []*directory.Member) {
	last := members[len(members)-1]
	a := newAttempt(f.ctx, placement.Choice{Member: last, Long: true})
	a.group = members
	a.answer = &groupAnswer{
		router: f.router, request: f.outgoing(), members: members, deadline: f.deadline,
		observe: func(s submit.Frame) { f.router.directory.Observe(time.Now(), *s.Backlog) },
	}
	f.frames.BeginAttempt(f.request.Attempt)
	for _, m := range members {
		f.event(timeline.KindPlaced, m.Name, "")
	}
	f.enter(a)
}

// groupAnswer is the answer of a group. The members prefill their segments one
// after the other; the last one streams.
type groupAnswer struct {
	router   *Router
	request  submit.Request
	members  []*directory.Member
	deadline time.Time
	observe  func(submit.Frame)
	handles  []string
	current  submit.Answer // of the member whose turn it is
	closed   bool
}

// Next implements submit.Answer.
func (g *groupAnswer) Next(ctx context.Context) (submit.Frame, error) {
	for len(g.handles) < len(g.members)-1 {
		if err := g.segment(ctx); err != nil {
			return submit.Frame{}, g.failed(err)
		}
	}
	if g.current == nil {
		if err := g.begin(ctx); err != nil {
			return submit.Frame{}, g.failed(err)
		}
	}
	frame, err := g.current.Next(ctx)
	if err != nil && !errors.Is(err, io.EOF) {
		err = g.failed(err)
	}
	return frame, err
}

// begin submits to the member whose turn it is.
func (g *groupAnswer) begin(ctx context.Context) error {
	index := len(g.handles)
	req := g.request
	req.Remaining = time.Until(g.deadline)
	req.Group = &submit.Group{Index: index, Handles: g.handles}
	for _, m := range g.members {
		req.Group.Members = append(req.Group.Members, m.Name)
	}
	a, err := g.router.port(g.members[index]).Submit(ctx, req)
	g.current = a
	return err
}

// segment runs the prefill of one member and keeps its handle.
func (g *groupAnswer) segment(ctx context.Context) error {
	if err := g.begin(ctx); err != nil {
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

var errNoHandle = errors.New("a segment ended without a handle")

// failed names the member at which the group was lost. Earlier members ran
// their segments, so that nothing can be told as not run.
func (g *groupAnswer) failed(cause error) error {
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
