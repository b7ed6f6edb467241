package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/admission"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/work"
)

const freeBlocks = 1000 // free memory blocks of the engine

var (
	start  = time.Unix(1_000_000, 0)
	limits = admission.Limits{MaxRunning: 2, MaxLong: 1, MaxQueued: 8, ShortBlocks: 100}
	rates  = work.Rates{PrefillPerSec: 10_000, DecodePerSec: 50, MemoryTokens: 100}
)

func newRequest(name string, tokens, maxTokens int, arrived time.Time, remaining time.Duration) admission.Request {
	class := submit.ClassOf(tokens)
	return admission.Request{
		Key:      engine.Key{Request: name, Attempt: 1},
		Class:    class,
		Long:     class >= submit.ClassMedium,
		Estimate: rates.Estimate(tokens, 0, maxTokens, 0),
		Arrived:  arrived,
		Deadline: arrived.Add(remaining),
	}
}

func startQueued(q *admission.Queue, now time.Time) []string {
	var names []string
	free := func() int { return freeBlocks }
	for _, r := range q.Next(now, free, func(admission.Request) bool { return true }) {
		names = append(names, r.Key.Request)
	}
	return names
}

func refusedNames(refused []admission.Refusal) []string {
	var all []string
	for _, r := range refused {
		all = append(all, r.Request.Key.Request)
	}
	return all
}

func TestInfeasibleRequestIsRefusedOnOffer(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(limits)
	// Prefill of 1,000 tokens takes 0.1 s, decode of 100 tokens takes 2 s.
	refused := q.Offer(newRequest("a", 1000, 100, start, 2*time.Second), freeBlocks, start)
	g.Expect(refused.Code).To(Equal(outcome.CodeDeadlineInfeasible))
	g.Expect(refused.State).To(Equal(outcome.NotRun))
	g.Expect(q.Offer(newRequest("b", 1000, 100, start, 2300*time.Millisecond), freeBlocks, start)).To(BeNil())
	g.Expect(startQueued(q, start)).To(Equal([]string{"b"}))

	// Behind 0.1 s of prefill, a similar request misses its deadline.
	refused = q.Offer(newRequest("c", 1000, 100, start, 2250*time.Millisecond), freeBlocks, start)
	g.Expect(refused.Code).To(Equal(outcome.CodeOverloaded))
	g.Expect(refused.RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
}

func TestLongRequestThatDelaysAdmittedOneIsRefused(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(limits)
	g.Expect(q.Offer(newRequest("late", 100_000, 10, start, 15*time.Second), freeBlocks, start)).To(BeNil())
	refused := q.Offer(newRequest("urgent", 60_000, 10, start, 7*time.Second), freeBlocks, start)
	g.Expect(refused).NotTo(BeNil())
	g.Expect(refused.RetryAfter).NotTo(BeZero())
	g.Expect(q.Offer(newRequest("small", 40_000, 10, start, 7*time.Second), freeBlocks, start)).To(BeNil())
	g.Expect(startQueued(q, start)).To(Equal([]string{"small"})) // nearest deadline first, one at a time
}

func TestShorterClassesStartFirstUntilOthersAge(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(limits)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(q.Offer(newRequest("short", 5000, 1, start, time.Minute), freeBlocks, start)).To(BeNil())
	g.Expect(q.Offer(newRequest("tiny", 500, 1, at(50), time.Minute), freeBlocks, at(50))).To(BeNil())
	g.Expect(q.Offer(newRequest("later", 500, 1, at(150), time.Minute), freeBlocks, at(150))).To(BeNil())
	g.Expect(startQueued(q, at(200))).To(Equal([]string{"tiny", "short"}))
	q.Done(engine.Key{Request: "tiny", Attempt: 1})
	g.Expect(startQueued(q, at(300))).To(Equal([]string{"later"}))
}

func TestExpireRefusesQueuedRequestPastLatestStart(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(limits)
	g.Expect(q.Offer(newRequest("a", 1000, 100, start, 3*time.Second), freeBlocks, start)).To(BeNil())
	expiry := q.NextExpiry()
	g.Expect(expiry).To(BeTemporally("~", start.Add(770*time.Millisecond), 10*time.Millisecond))
	g.Expect(q.Expire(expiry.Add(-time.Millisecond))).To(BeEmpty())
	refused := q.Expire(expiry)
	g.Expect(refusedNames(refused)).To(Equal([]string{"a"}))
	g.Expect(refused[0].Err.State).To(Equal(outcome.NotRun))
	g.Expect(startQueued(q, expiry)).To(BeEmpty())
}

func TestDrainRefusesQueuedRequests(t *testing.T) {
	g := NewWithT(t)
	q := admission.New(limits)
	for _, name := range []string{"a", "b", "c"} {
		g.Expect(q.Offer(newRequest(name, 1000, 10, start, time.Minute), freeBlocks, start)).To(BeNil())
	}
	g.Expect(startQueued(q, start)).To(Equal([]string{"a", "b"}))
	g.Expect(refusedNames(q.Drain())).To(Equal([]string{"c"}))
	g.Expect(q.Running()).To(Equal(2))
	g.Expect(q.Offer(newRequest("d", 1000, 10, start, time.Minute), freeBlocks, start).Code).To(Equal(outcome.CodeEndpointLeaving))
}

// TestEachAttemptLeavesTheQueueOnce checks that no attempt is both refused and
// started, for random sequences of operations.
func TestEachAttemptLeavesTheQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.New(limits)
		now := start
		states := make(map[string]string)
		transition := func(name, state string) {
			if states[name] != "queued" {
				t.Fatalf("%s was %s and then became %s", name, states[name], state)
			}
			states[name] = state
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				name := fmt.Sprint("r", len(states))
				tokens := rapid.SampledFrom([]int{500, 5000, 40_000}).Draw(t, "tokens")
				wait := time.Duration(rapid.IntRange(1, 20).Draw(t, "remaining")) * time.Second
				states[name] = "refused"
				if q.Offer(newRequest(name, tokens, 10, now, wait), freeBlocks, now) == nil {
					states[name] = "queued"
				}
			},
			"next": func(t *rapid.T) {
				enough := rapid.Bool().Draw(t, "memory")
				for _, r := range q.Next(now, func() int { return freeBlocks }, func(admission.Request) bool { return enough }) {
					transition(r.Key.Request, "started")
				}
			},
			"done": func(t *rapid.T) {
				if len(states) > 0 {
					q.Done(engine.Key{Request: fmt.Sprint("r", rapid.IntRange(0, len(states)-1).Draw(t, "done")), Attempt: 1})
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				for _, r := range q.Expire(now) {
					transition(r.Request.Key.Request, "refused")
				}
			},
			"leave": func(t *rapid.T) {
				name := fmt.Sprint("r", rapid.IntRange(0, max(len(states)-1, 0)).Draw(t, "leave"))
				if q.Cancel(engine.Key{Request: name, Attempt: 1}) {
					transition(name, "left")
				}
			},
			"": func(t *rapid.T) {
				queued := 0
				for _, state := range states {
					if state == "queued" {
						queued++
					}
				}
				if queued != q.Queued() {
					t.Fatalf("%d attempts are queued, but Queued returns %d", queued, q.Queued())
				}
			},
		})
	})
}

func BenchmarkAdmit(b *testing.B) {
	const forever = 100_000 * time.Hour
	q := admission.New(admission.Limits{MaxRunning: 64, MaxLong: 1, MaxQueued: 256, ShortBlocks: 100})
	for i := range 48 {
		_ = q.Offer(newRequest(fmt.Sprint("r", i), 1000, 100, start, forever), freeBlocks, start)
	}
	startQueued(q, start)
	for i := range 8 {
		_ = q.Offer(newRequest(fmt.Sprint("l", i), 100_000, 100, start, forever), freeBlocks, start)
	}
	r := newRequest("x", 1000, 100, start, forever)
	free := func() int { return freeBlocks }
	take := func(admission.Request) bool { return true }
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(r.Estimate.Prefill)
		r.Arrived, r.Deadline = now, now.Add(time.Hour)
		if err := q.Offer(r, freeBlocks, now); err != nil {
			b.Fatal(err)
		}
		q.Next(now, free, take)
		q.Done(r.Key)
	}
}
