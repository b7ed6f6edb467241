package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// While all engines prefill, an engine that decodes only one answer is lost for
// prefill, so a long answer has to join an engine that already decodes.
func TestLongAnswerSharesDecodingEngine(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 6})
	long := func(id string, prompt int) schedule.Job {
		return schedule.Job{ID: id, Prompt: prompt, Answer: 800, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Remaining: 15 * time.Second}
	}
	decoding := s.Submit(long("decoding", 30_000), simStart)[0]
	now := simStart.Add(time.Second)
	s.Started("decoding", now)
	prefilling := s.Submit(long("prefilling", 380_000), now)[0]
	g.Expect(prefilling.Helpers).ToNot(BeEmpty())
	joined := s.Submit(long("joining", 25_000), now)[0]
	g.Expect([]string{decoding.Endpoint, prefilling.Endpoint}).To(ContainElement(joined.Endpoint), "this engine decodes or is about to")
}

// A short answer joins a long one, so that the engine that decodes another short answer
// is free for prefill sooner.
func TestAnswersWithSimilarEndArePacked(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 2})
	job := func(id string, answer int) schedule.Job {
		return schedule.Job{ID: id, Prompt: 5000, Answer: answer, Goal: 300 * time.Millisecond, PauseGoal: 200 * time.Millisecond, Remaining: 10 * time.Second}
	}
	adopt := func(id string, endpoint int, answer int) {
		s.Adopt(schedule.PlacedJob{Job: job(id, answer), Decision: schedule.Decision{Job: id, Endpoint: engineName(endpoint)}, Decoding: true}, simStart)
	}
	adopt("short", 0, 100)
	adopt("long", 1, 4000)
	d := s.Submit(job("j", 1600), simStart)
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Endpoint).To(Equal(engineName(1)))
}

// Engines with little memory need helpers for prompts that others prefill alone.
func TestShortPromptLargerThanEngineMemoryUsesHelpers(t *testing.T) {
	g := NewWithT(t)
	f := modelProfile
	f.MemoryTokens = 8_000
	s := schedule.New("entry", f, ratelimit.NewTable())
	s.SetEndpoints([]schedule.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}, func(string) bool { return false })
	d := s.Submit(schedule.Job{ID: "j", Prompt: 12_000, Answer: 100, Goal: time.Second, PauseGoal: time.Second, Remaining: 10 * time.Second}, simStart)
	g.Expect(d).To(HaveLen(1))
	g.Expect(d[0].Refused()).To(BeFalse(), d[0].Reason)
	reserved := 0
	for _, h := range d[0].Helpers {
		reserved += h.Tokens
	}
	g.Expect(reserved).To(BeNumerically(">=", 12_100-8_000))
}

// Entries without a coordinator see only their own jobs. Together they must not fill
// some engines while others are idle.
func TestEntriesWithoutCoordinatorSpreadLoad(t *testing.T) {
	g := NewWithT(t)
	placed := map[string]int{}
	for entry := range 13 {
		s := schedule.New(fmt.Sprint("entry-", entry), modelProfile, ratelimit.NewTable())
		s.SetPeers(12)
		var all []schedule.Endpoint
		for i := range 45 {
			all = append(all, schedule.Endpoint{ID: engineName(i), Address: engineName(i)})
		}
		s.SetEndpoints(all, func(string) bool { return false })
		for i := range 12 {
			d := s.Submit(schedule.Job{ID: fmt.Sprint(i), Prompt: 5000, Answer: 1600, Goal: 300 * time.Millisecond, PauseGoal: 200 * time.Millisecond, Remaining: 10 * time.Second}, simStart)
			placed[d[0].Endpoint]++
		}
	}
	for id, n := range placed {
		// 3.5 on average; requests wait at an engine whose slots are full.
		g.Expect(n).To(BeNumerically("<", modelProfile.Slots), id)
	}
}

// Decisions of the last coordinator show which engines decode short answers. Without a
// coordinator, each entry fills only its share of these engines.
func TestShortJobsArePackedWithoutCoordinator(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 14})
	s.SetPeers(7)
	job := func(id string) schedule.Job {
		return schedule.Job{ID: id, Prompt: 5000, Answer: 1600, Goal: 300 * time.Millisecond, PauseGoal: 200 * time.Millisecond, Remaining: 10 * time.Second}
	}
	s.Adopt(schedule.PlacedJob{Job: job("before"), Decision: schedule.Decision{Job: "before", Endpoint: engineName(9)}, Decoding: true}, simStart)
	placed := map[string]int{}
	for i := range 8 {
		d := s.Submit(job(fmt.Sprint(i)), simStart)[0]
		if i == 0 {
			g.Expect(d.Endpoint).To(Equal(engineName(9)))
		}
		placed[d.Endpoint]++
	}
	g.Expect(placed[engineName(9)]).To(BeNumerically("<=", 3), "eight entries with this many fill its slots")
}

// All entries restart together: the callers whose streams were cut and those that found
// nobody return within an instant. They are late already, so the callers that arrive
// after them must not wait behind them.
func TestReturningCallersYieldToNewOnes(t *testing.T) {
	g := NewWithT(t)
	l := workload{engines: 18, scale: 1, duration: 12 * time.Second, outage: [2]time.Duration{5 * time.Second, 7 * time.Second}}
	fresh, onTime, returned, served := 0, 0, 0, 0
	for seed := range uint64(6) {
		l.seed = seed
		s := simulate(l, newScheduler(l))
		for _, r := range s.requests {
			switch {
			case r.returning:
				returned++
				if r.done {
					served++
				}
			case r.kind == 0 && r.arrived >= l.outage[1] && r.arrived < l.outage[1]+2*time.Second:
				fresh++
				if s.credit(r) >= r.credit {
					onTime++
				}
			}
		}
	}
	t.Logf("new short prompts on time %d of %d, returned callers served %d of %d", onTime, fresh, served, returned)
	g.Expect(float64(onTime) / float64(fresh)).To(BeNumerically(">", 0.9))
	g.Expect(float64(served) / float64(returned)).To(BeNumerically(">", 0.75))
}

// A late job waits for an engine without queued prefill and takes any after maxYield.
func TestLateJobYields(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 1})
	now := simStart
	busy := schedule.Job{ID: "busy", Prompt: 15_000, Answer: 500, Goal: 2 * time.Second, PauseGoal: time.Second, Remaining: 10 * time.Second, Urgency: 1}
	g.Expect(s.Submit(busy, now)).To(HaveLen(1))
	late := schedule.Job{ID: "late", Prompt: 5_000, Answer: 500, Goal: -time.Second, PauseGoal: time.Second, Remaining: 5 * time.Second, Urgency: 1}
	g.Expect(s.Submit(late, now)).To(BeEmpty(), "queued while another prompt is being read")
	fresh := schedule.Job{ID: "fresh", Prompt: 5_000, Answer: 500, Goal: 300 * time.Millisecond, PauseGoal: time.Second, Remaining: 10 * time.Second, Urgency: 1}
	decisions := s.Submit(fresh, now.Add(30*time.Millisecond))
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].Refused()).To(BeFalse())
	decisions = s.Tick(now.Add(600 * time.Millisecond))
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].Endpoint).ToNot(BeEmpty())
}

// All entries restarted, and a prompt as long as two engines' memory is among the first
// of a hundred callers that return at once. It must leave enough engines for the others:
// given all of them, they would be shut out for two seconds, and leave.
func TestHugePromptLeavesEnginesForReturningCallers(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler(workload{engines: 18})
	s.TakeOver(simStart)
	now := simStart
	var decisions []schedule.Decision
	submit := func(id string, prompt int, goal time.Duration) {
		now = now.Add(time.Millisecond)
		decisions = append(decisions, s.Submit(schedule.Job{
			ID: id, Prompt: prompt, Answer: 1600, Goal: goal, PauseGoal: 200 * time.Millisecond, Remaining: 14 * time.Second, Urgency: 1,
		}, now)...)
	}
	const shorts = 100
	for i := range shorts {
		if i == 5 {
			submit("huge", 789_000, 3*time.Second)
		}
		submit(fmt.Sprintf("short-%d", i), 5_000, 300*time.Millisecond)
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		decisions = append(decisions, s.Tick(now)...)
	}
	for _, d := range decisions {
		if d.Job == "huge" {
			t.Logf("huge: endpoint %q, helpers %d, reason %q", d.Endpoint, len(d.Helpers), d.Reason)
			g.Expect(1+len(d.Helpers)).To(BeNumerically("<=", 18-shorts/12), "engines of the huge prompt")
		} else {
			g.Expect(d.Refused()).To(BeFalse(), d.Job)
			g.Expect(d.Expected).To(BeNumerically("<", 300*time.Millisecond), d.Job)
		}
	}
}

// A caller that has two seconds left is told soon that there is no room.
func TestLateJobIsNotHeldForMostOfItsTime(t *testing.T) {
	g := NewWithT(t)
	for _, left := range []time.Duration{0, 400 * time.Millisecond, 2 * time.Second, 12 * time.Second} {
		j := schedule.Job{Goal: -time.Second, PauseGoal: 800 * time.Millisecond, Remaining: left}
		g.Expect(j.MaxWait()).To(BeNumerically("<=", left/4))
		g.Expect(j.MaxWait()).To(BeNumerically("<=", time.Second))
	}
}
