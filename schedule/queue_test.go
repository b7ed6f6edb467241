package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// fullFleet is a fleet whose engines have no slot left.
type fullFleet struct {
	*limitedFleet
	running []string
}

func newFullFleet(g *WithT, engines int) *fullFleet {
	f := &fullFleet{limitedFleet: newLimitedFleet(engines, 0, 0)}
	for i := range engines * modelProfile.Slots {
		id := fmt.Sprint("running-", i)
		f.Adopt(schedule.PlacedJob{
			Job:      schedule.Job{ID: id, Owner: "entry", Prompt: 1000, Answer: 1000, Goal: time.Second, PauseGoal: time.Second, Remaining: time.Minute},
			Decision: schedule.Decision{Job: id, Endpoint: engineName(i % engines)}, Decoding: true,
		}, f.now)
		f.running = append(f.running, id)
	}
	g.Expect(f.QueueLength()).To(BeZero())
	return f
}

// Pattern: all entries of a large fleet restart together while the engines still run what
// they had, and hundreds of callers return at once. The queue is long and an answer ends
// every few milliseconds; each end scans the queue.
func TestLongQueueTakesBoundedWork(t *testing.T) {
	g := NewWithT(t)
	const engines, queued = 112, 250
	f := newFullFleet(g, engines)
	for i := range queued {
		f.Submit(schedule.Job{
			ID: fmt.Sprint("queued-", i), Prompt: 800 + i, Answer: 500, Goal: 5 * time.Second, PauseGoal: time.Second, Remaining: 20 * time.Second,
		}, f.now)
	}
	g.Expect(f.QueueLength()).To(Equal(queued))
	before, started, placed := f.Evaluations(), f.now, 0
	for f.now.Sub(started) < time.Second {
		f.now = f.now.Add(5 * time.Millisecond)
		for _, d := range f.Ended(f.running[0], f.now) {
			if !d.Refused() {
				placed++
			}
		}
		f.running = f.running[1:]
	}
	g.Expect(placed).To(BeNumerically(">", 150), "slots that become free are used")
	g.Expect(f.Evaluations()-before).To(BeNumerically("<", 2*placed+200), "jobs without a free slot are not evaluated one by one")
}

// Pattern: a job of the queue takes the last slots of an engine, and the next one must not
// be placed on what the scan saw before.
func TestScanSeesWhatItPlaced(t *testing.T) {
	g := NewWithT(t)
	f := newFullFleet(g, 3)
	for i := range 12 {
		f.Submit(schedule.Job{
			ID: fmt.Sprint("queued-", i), Prompt: 1000, Answer: 500, Goal: 5 * time.Second, PauseGoal: time.Second, Remaining: 20 * time.Second,
		}, f.now)
	}
	f.now = f.now.Add(time.Second)
	var all []schedule.Decision
	for _, job := range f.running[:6] { // two on each engine
		all = append(all, f.Ended(job, f.now)...)
	}
	f.now = f.now.Add(time.Second)
	all = append(all, f.Tick(f.now)...)
	perEngine := map[string]int{}
	for _, d := range all {
		if !d.Refused() {
			perEngine[d.Endpoint]++
		}
	}
	for engine, n := range perEngine {
		g.Expect(n).To(BeNumerically("<=", 2), engine)
	}
	g.Expect(perEngine).To(HaveLen(3))
}
