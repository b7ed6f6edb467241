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

// TestWorkOfEntriesThatAreGone: all entries lost power; the engines still write
// for them and say so.
func TestWorkOfEntriesThatAreGone(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(load{engines: 2})
	s.ObserveLoad(engineName(0), schedule.Load{Running: 16, Queued: 3, MemoryTokens: 100_000, Slowdown: 1}, simStart)
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(s.Submit(shortJob(id), simStart)[0].Endpoint).To(Equal(engineName(1)))
	}
	later := simStart.Add(5 * time.Second)
	s.SetEndpoints([]schedule.Endpoint{{ID: engineName(0)}}, func(string) bool { return false })
	g.Expect(s.Submit(shortJob("d"), later)[0].Endpoint).To(Equal(engineName(0)), "an old word does not count")
}

func TestASlowEngineThatTellsIsLeft(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(load{engines: 2})
	s.ObserveLoad(engineName(0), schedule.Load{Slowdown: 5}, simStart)
	g.Expect(s.Submit(shortJob("a"), simStart)[0].Endpoint).To(Equal(engineName(1)))
}

// TestAReportThatLagsIsNoForeignWork: what has just ended is still counted there.
func TestAReportThatLagsIsNoForeignWork(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(load{engines: 1})
	for _, id := range []string{"a", "b", "c", "d"} {
		s.Submit(shortJob(id), simStart)
		s.Ended(id, simStart.Add(time.Second))
	}
	now := simStart.Add(1100 * time.Millisecond)
	s.ObserveLoad(engineName(0), schedule.Load{Running: 4, Slowdown: 1}, now)
	g.Expect(s.Submit(shortJob("e"), now)[0].Expected).To(BeNumerically("<", 40*time.Millisecond), "the engine is idle")
}

// TestPartsThatAreReadAreNoForeignWork: an engine counts what it reads for others,
// also when that takes longer than the model says, and some time after.
func TestPartsThatAreReadAreNoForeignWork(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(load{engines: 3})
	d := s.Submit(schedule.Job{ID: "long", Prompt: 300_000, Answer: 800, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Remaining: 15 * time.Second}, simStart)[0]
	g.Expect(d.Helpers).To(HaveLen(2))
	s.Submit(schedule.Job{ID: "other", Prompt: 300_000, Answer: 800, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Remaining: 15 * time.Second}, simStart)
	helper := d.Helpers[0].ID
	late := simStart.Add(6 * time.Second)
	s.ObserveLoad(helper, schedule.Load{Running: 2, Slowdown: 1}, late)
	g.Expect(s.Foreign(helper, late)).To(BeZero(), "both are still being read")
	s.Started("long", late)
	s.Started("other", late)
	s.ObserveLoad(helper, schedule.Load{Running: 2, Slowdown: 1}, late.Add(200*time.Millisecond))
	g.Expect(s.Foreign(helper, late.Add(200*time.Millisecond))).To(BeZero(), "the report lags")
	s.ObserveLoad(helper, schedule.Load{Running: 4, Slowdown: 1}, late.Add(time.Second))
	g.Expect(s.Foreign(helper, late.Add(time.Second))).To(BeNumerically(">=", 2))
}
