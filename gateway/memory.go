package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/memory"
)

// Shares of an entry's memory. An entry stops reading ahead of slow callers first, then
// refuses new bodies, and at last ends answers.
const (
	memoryShare = 0.5       // of the process's memory: the rest is for the heap's garbage and for connections
	bodyShare   = 2.0 / 3.0 // of memoryShare, up to which bodies are taken
	aheadShare  = 0.5       // of memoryShare, up to which answers are read ahead of their callers
)

// requestBytes is charged for each request in progress, for stacks, headers and the buffers
// of its connections. A thousand requests without bodies took 53 MB, together with the
// endpoints' side of them in the same process.
const requestBytes = 48 << 10

// Times of slow callers.
const (
	slowTick = 50 * time.Millisecond
	// slowTicks is how many ticks a write to a caller takes before its endpoint is read
	// ahead. An endpoint ends an answer that is not read for some seconds.
	slowTicks = 2
	// stalledTicks is how many ticks a caller reads nothing before its answer may be ended:
	// a second, longer than a lost packet holds up a caller.
	stalledTicks = 20
	// holdRetryInterval is how often an answer tries to get the memory that it needs.
	holdRetryInterval = 20 * time.Millisecond
)

var (
	memoryBodiesRefusedTotal   = metrics.NewCounter("jacinthplank_memory_bodies_refused_total")
	memoryRequestsRefusedTotal = metrics.NewCounter("jacinthplank_memory_requests_refused_total")
	memoryAnswersAheadTotal    = metrics.NewCounter("jacinthplank_memory_answers_read_ahead_total")
	memoryAheadStoppedTotal    = metrics.NewCounter("jacinthplank_memory_read_ahead_stopped_total")
	memoryAnswersWaitedTotal   = metrics.NewCounter("jacinthplank_memory_answers_waited_total")
	memoryAnswersEndedTotal    = metrics.NewCounter("jacinthplank_memory_answers_ended_total")
	memoryUsed                 = metrics.NewGauge("jacinthplank_memory_used_bytes", nil)
)

// slowCallers watches the writes to callers. It reads the endpoints of callers that read
// slowly ahead, and ends answers when the memory is used up. It is safe for concurrent use.
type slowCallers struct {
	budget *memory.Budget
	ahead  *memory.Budget // share of budget for reading ahead
	log    *slog.Logger
	tick   atomic.Int64 // coarse time, from 1: reading it costs less than the clock

	mu      sync.Mutex
	answers map[*answer]struct{}
	ending  *answer // ended, and has not yet given back its memory
}

func newSlowCallers(budget *memory.Budget, log *slog.Logger) *slowCallers {
	s := &slowCallers{budget: budget, ahead: budget.Share(aheadShare), log: log, answers: map[*answer]struct{}{}}
	s.tick.Store(1)
	return s
}

// Name implements supervise.Duty.
func (s *slowCallers) Name() string { return "slow callers" }

// Serve implements supervise.Duty.
func (s *slowCallers) Serve(ctx context.Context) error {
	ticker := time.NewTicker(slowTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.check()
		}
	}
}

// check reads ahead for the callers that have been slow for slowTicks.
func (s *slowCallers) check() {
	now := s.tick.Add(1)
	memoryUsed.Set(float64(s.budget.Used()))
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.answers {
		switch started := a.writing.Load(); {
		case a.buffer != nil:
			a.buffer.retry()
		case a.source.next != nil && started > 0 && now-started >= slowTicks:
			a.readAhead(started)
		}
	}
}

func (s *slowCallers) add(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[a] = struct{}{}
}

// remove forgets an answer. Its connection is left alone from then on.
func (s *slowCallers) remove(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.answers, a)
}

// released lets the next answer be ended, after a has given back its memory. A reader ahead
// that is slow to stop holds the memory some time after remove.
func (s *slowCallers) released(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending == a {
		s.ending = nil
	}
}

// hold reserves memory that an answer in progress can't go on without. While there is none,
// it ends answers whose callers don't read, and waits.
func (s *slowCallers) hold(ctx context.Context, n int64) error {
	if s.budget.Reserve(n) {
		return nil
	}
	memoryAnswersWaitedTotal.Inc()
	ticker := time.NewTicker(holdRetryInterval)
	defer ticker.Stop()
	for !s.budget.Reserve(n) {
		s.endSlowest()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

// endSlowest ends the answer whose caller has read nothing for longest, of those that hold
// memory. The next one is ended only when that memory is given back.
func (s *slowCallers) endSlowest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending != nil {
		return
	}
	now := s.tick.Load()
	var slowest *answer
	since := now - stalledTicks + 1
	for a := range s.answers {
		if started := a.stalledSince(); started > 0 && started < since && a.held.Load() > 0 {
			slowest, since = a, started
		}
	}
	if slowest == nil {
		return
	}
	s.ending = slowest
	memoryAnswersEndedTotal.Inc()
	slowest.end(time.Duration(now-since) * slowTick)
}
