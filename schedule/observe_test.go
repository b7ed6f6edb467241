package schedule_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/schedule"
)

func shortJob(id string) schedule.Job {
	return schedule.Job{ID: id, Prompt: 5000, Answer: 1600, Goal: 300 * time.Millisecond, PauseGoal: 200 * time.Millisecond, Remaining: 10 * time.Second}
}

// After all entries have lost power, engines still decode for them and report it. The
// untracked work must count against an engine, but only while its report is fresh.
func TestUntrackedWorkOfLostEntries(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 2})
	s.ObserveLoad(engineName(0), schedule.Load{Running: 16, Queued: 3, MemoryTokens: 100_000, Slowdown: 1}, simStart)
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(s.Submit(shortJob(id), simStart)[0].Endpoint).To(Equal(engineName(1)))
	}
	later := simStart.Add(5 * time.Second)
	s.SetEndpoints([]schedule.Endpoint{{ID: engineName(0)}}, func(string) bool { return false })
	g.Expect(s.Submit(shortJob("d"), later)[0].Endpoint).To(Equal(engineName(0)), "an expired report is ignored")
}

func TestReportedSlowEngineIsAvoided(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 2})
	s.ObserveLoad(engineName(0), schedule.Load{Slowdown: 5}, simStart)
	g.Expect(s.Submit(shortJob("a"), simStart)[0].Endpoint).To(Equal(engineName(1)))
}

// The retry delay of a refused job covers the backlog at the pace that the engine
// reports, for as long as the report is fresh.
func TestRetryAfterFollowsReportedSlowdown(t *testing.T) {
	job := func(id string) schedule.Job {
		return schedule.Job{ID: id, Prompt: 440_000, Answer: 100, Goal: 10 * time.Second, PauseGoal: time.Second, Remaining: time.Minute}
	}
	prefill := modelProfile.PrefillTime(440_000, 1)
	retryAfter := func(slowdown float64, age time.Duration) time.Duration {
		s := newScheduler(workload{engines: 1})
		NewWithT(t).Expect(s.Submit(job("a"), simStart)[0].Refused()).To(BeFalse())
		s.ObserveLoad(engineName(0), schedule.Load{Running: 1, Slowdown: slowdown}, simStart.Add(-age))
		d := s.Submit(job("s"), simStart) // an id whose delay to spread retries is shorter than the backlog
		NewWithT(t).Expect(d).To(HaveLen(1))
		return d[0].RetryAfter
	}
	g := NewWithT(t)
	healthy := retryAfter(1, 0)
	g.Expect(healthy).To(BeNumerically("~", prefill, 500*time.Millisecond))
	g.Expect(retryAfter(1.6, 0)).To(BeNumerically("~", 1.6*float64(healthy), float64(time.Millisecond)))
	g.Expect(retryAfter(1.6, 5*time.Second)).To(Equal(healthy), "an expired report is ignored")
}

// A report that lags still counts jobs that have just ended.
func TestLaggingReportIsNotUntrackedWork(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 1})
	for _, id := range []string{"a", "b", "c", "d"} {
		s.Submit(shortJob(id), simStart)
		s.Ended(id, simStart.Add(time.Second))
	}
	now := simStart.Add(1100 * time.Millisecond)
	s.ObserveLoad(engineName(0), schedule.Load{Running: 4, Slowdown: 1}, now)
	g.Expect(s.Submit(shortJob("e"), now)[0].Expected).To(BeNumerically("<", 40*time.Millisecond), "the engine is idle")
}

// Engines count helper parts as their own work, also while these take longer than
// predicted and for a short time after the end.
func TestHelperPrefillsAreNotUntrackedWork(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 3})
	d := s.Submit(schedule.Job{ID: "long", Prompt: 300_000, Answer: 800, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Remaining: 15 * time.Second}, simStart)[0]
	g.Expect(d.Helpers).To(HaveLen(2))
	s.Submit(schedule.Job{ID: "other", Prompt: 300_000, Answer: 800, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Remaining: 15 * time.Second}, simStart)
	helper := d.Helpers[0].ID
	late := simStart.Add(6 * time.Second)
	s.ObserveLoad(helper, schedule.Load{Running: 2, Slowdown: 1}, late)
	g.Expect(s.UntrackedRequests(helper, late)).To(BeZero(), "both are still in prefill")
	s.Started("long", late)
	s.Started("other", late)
	s.ObserveLoad(helper, schedule.Load{Running: 2, Slowdown: 1}, late.Add(200*time.Millisecond))
	g.Expect(s.UntrackedRequests(helper, late.Add(200*time.Millisecond))).To(BeZero(), "the report lags")
	s.ObserveLoad(helper, schedule.Load{Running: 4, Slowdown: 1}, late.Add(time.Second))
	g.Expect(s.UntrackedRequests(helper, late.Add(time.Second))).To(BeNumerically(">=", 2))
}
