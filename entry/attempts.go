package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

const (
	watchPeriod = 250 * time.Millisecond // time between two looks at the attempts under way
)

var (
	errStalled = errors.New("no sign of life from the endpoint")
	stalls     = metrics.NewCounter("jacinthplank_entry_stalled_attempts_total")
)

// attempt is one attempt at one endpoint.
type attempt struct {
	member   *directory.Member
	choice   placement.Choice
	answer   submit.Answer
	ctx      context.Context
	cancel   context.CancelCauseFunc
	group    []*directory.Member // members of a group; nil for one endpoint
	sent     time.Time
	started  atomic.Bool  // a token came
	progress atomic.Int64 // unix nanoseconds of the last frame
}

func newAttempt(ctx context.Context, choice placement.Choice) *attempt {
	a := &attempt{member: choice.Member, choice: choice, sent: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.touch(a.sent)
	return a
}

func (a *attempt) touch(now time.Time) { a.progress.Store(now.UnixNano()) }

func (a *attempt) idle(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.progress.Load())
}

// Time after which the first token of a short attempt is overdue: overdueFloor
// and overdueTimes the time that was expected.
const (
	overdueFloor = 2 * time.Second
	overdueTimes = 4
)

// overdue reports whether the first token of a short attempt should have come
// long ago, as when the engine froze.
func (a *attempt) overdue(now time.Time) bool {
	if a.started.Load() || a.choice.Long {
		return false
	}
	return a.idle(now) > overdueFloor+overdueTimes*a.choice.Cost
}

// stalled reports whether the attempt was given up for lack of progress.
func (a *attempt) stalled() bool { return errors.Is(context.Cause(a.ctx), errStalled) }

// attempts is the set of attempts under way.
type attempts struct {
	mu  sync.Mutex
	set map[*attempt]struct{}
}

func (s *attempts) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		s.set = map[*attempt]struct{}{}
	}
	s.set[a] = struct{}{}
}

func (s *attempts) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, a)
}

// giveUp ends the attempts at endpoints that are gone from the directory, or
// have started anew, and that made no progress for a lease, and short attempts
// whose first token is long overdue.
func (s *attempts) giveUp(now time.Time, d *directory.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.set {
		m := d.Get(a.member.Name)
		here := m != nil && m.Incarnation == a.member.Incarnation
		gone := !here && a.idle(now) >= directory.DefaultLease
		if !gone && !a.overdue(now) {
			continue
		}
		stalls.Inc()
		a.cancel(errStalled)
	}
}

// Name implements supervise.Duty.
func (r *Router) Name() string { return "entry router" }

// Serve looks after the directory, the breakers and the attempts under way
// until ctx ends.
func (r *Router) Serve(ctx context.Context) error {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			r.watch(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Router) watch(now time.Time) {
	for _, m := range r.directory.Expire(now) {
		r.forget(m)
		r.recorder.Record(timeline.Event{Kind: timeline.KindLeft, Endpoint: m.Name, Step: "entry", Detail: "lease ran out"})
	}
	r.attempts.giveUp(now, r.directory)
	for _, members := range r.directory.Models() {
		r.breakers.Eject(now, members)
	}
}

// forget drops what the router keeps of an endpoint that left.
func (r *Router) forget(m *directory.Member) {
	r.breakers.Forget(m.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if have, ok := r.endpoints[m.Name]; ok && have.incarnation <= m.Incarnation {
		delete(r.endpoints, m.Name)
	}
}
