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
	watchInterval = 250 * time.Millisecond // interval of checks of the directory, the breakers and the active attempts
)

var (
	errStalled      = errors.New("endpoint stalled: no frame of the answer within the timeout")
	stalledAttempts = metrics.NewCounter("jacinthplank_entry_stalled_attempts_total")
)

// attempt is one attempt of a request, at one endpoint or a group of endpoints.
type attempt struct {
	member   *directory.Member
	choice   placement.Choice
	answer   submit.Answer
	ctx      context.Context
	cancel   context.CancelCauseFunc
	group    []*directory.Member // members of a group; nil for an attempt at a single endpoint
	acquired time.Time           // time at which the endpoint's breaker let the attempt pass
	sent     time.Time
	started  atomic.Bool  // the first token has arrived
	progress atomic.Int64 // unix nanoseconds of the last frame
}

func newAttempt(ctx context.Context, choice placement.Choice) *attempt {
	a := &attempt{member: choice.Member, choice: choice, sent: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.recordProgress(a.sent)
	return a
}

func (a *attempt) recordProgress(now time.Time) { a.progress.Store(now.UnixNano()) }

func (a *attempt) idleTime(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.progress.Load())
}

// The first token of a short attempt is overdue after firstTokenGrace plus
// firstTokenTimeoutFactor times the expected time to the first token.
const (
	firstTokenGrace         = 2 * time.Second
	firstTokenTimeoutFactor = 4
)

// firstTokenOverdue reports whether the first token of a short attempt is overdue,
// for example because the engine froze.
func (a *attempt) firstTokenOverdue(now time.Time) bool {
	if a.started.Load() || a.choice.Long {
		return false
	}
	return a.idleTime(now) > firstTokenGrace+firstTokenTimeoutFactor*a.choice.Cost
}

// stalled reports whether the attempt was canceled for lack of progress.
func (a *attempt) stalled() bool { return errors.Is(context.Cause(a.ctx), errStalled) }

// attemptSet is the set of active attempts. It is safe for concurrent use.
type attemptSet struct {
	mu     sync.Mutex
	active map[*attempt]struct{}
}

func (s *attemptSet) add(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		s.active = map[*attempt]struct{}{}
	}
	s.active[a] = struct{}{}
}

func (s *attemptSet) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, a)
}

// cancelStalled cancels attempts that made no progress for the length of a lease
// and whose endpoint has left the directory or restarted, and short attempts
// whose first token is overdue.
func (s *attemptSet) cancelStalled(now time.Time, d *directory.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.active {
		m := d.Get(a.member.Name)
		registered := m != nil && m.Incarnation == a.member.Incarnation
		leaseExpired := !registered && a.idleTime(now) >= directory.DefaultLease
		if !leaseExpired && !a.firstTokenOverdue(now) {
			continue
		}
		stalledAttempts.Inc()
		a.cancel(errStalled)
	}
}

// Name implements supervise.Duty.
func (r *Router) Name() string { return "entry router" }

// Serve expires endpoints, cancels stalled attempts and ejects slow endpoints
// periodically until ctx ends.
func (r *Router) Serve(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
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
		r.recorder.Record(timeline.Event{Kind: timeline.KindLeft, Endpoint: m.Name, Step: "entry", Detail: "lease expired"})
	}
	r.attempts.cancelStalled(now, r.directory)
	for _, members := range r.directory.EndpointsByModel() {
		r.breakers.Eject(now, members)
	}
}

// forget drops the breaker and the client of an endpoint that left.
func (r *Router) forget(m *directory.Member) {
	r.breakers.Remove(m.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if cached, ok := r.clients[m.Name]; ok && cached.incarnation <= m.Incarnation {
		delete(r.clients, m.Name)
	}
}
