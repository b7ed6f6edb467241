package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/schedule"
)

func TestCoordinatorPlacesJob(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	d, err := p.place(t.Context(), testJob("j"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
	p.jobEnded("j", schedule.Done)
	g.Eventually(f.endedJobs).Should(Equal([]string{"j"}))
}

func TestPlaceFollowsRedirectAfterHandover(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{redirect: "c:2"})
	var redirectedTo string
	p.onDenial = func(_ string, d mesh.Denial) string { redirectedTo = d.Leader; return d.Leader }
	p.setCoordinator("c:1", false)
	d, err := p.place(t.Context(), testJob("j"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
	g.Expect(redirectedTo).To(Equal("c:2"))
}

func TestEntryPlacesLocallyWithoutCoordinator(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	d, err := p.place(t.Context(), testJob("j"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
}

// TestFailedCoordinatorIsNotCalledDuringBackoff also checks that the coordinator receives
// the full job list on the first call after the backoff.
func TestFailedCoordinatorIsNotCalledDuringBackoff(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	_, err := p.place(t.Context(), testJob("before"))
	g.Expect(err).ToNot(HaveOccurred())
	f.update(func() { f.failing = true })
	d, err := p.place(t.Context(), testJob("a"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
	placeCalls := f.placeCalls
	_, err = p.place(t.Context(), testJob("b"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(f.placeCalls).To(Equal(placeCalls))
	f.update(func() { f.failing = false })
	time.Sleep(coordinatorBackoff)
	d, err = p.place(t.Context(), testJob("c"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
	g.Expect(f.adopted[len(f.adopted)-1]).To(HaveLen(3), "jobs before, a and b are running")
}

// TestUnresponsiveCoordinatorTimesOut checks that a frozen coordinator delays a job only
// until the call times out.
func TestUnresponsiveCoordinatorTimesOut(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{unresponsive: true}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	j := testJob("j")
	started := time.Now()
	d, err := p.place(t.Context(), j)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
	g.Expect(time.Since(started)).To(BeNumerically("<", j.MaxWait()+coordinatorCallMargin+200*time.Millisecond))
}

// TestLongPromptWaitsForNextCoordinator guards against local placement of a long prompt
// on engines where it delays the most other requests.
func TestLongPromptWaitsForNextCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{failing: true}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	j := testJob("j")
	j.Goal = 3 * time.Second
	time.AfterFunc(100*time.Millisecond, func() {
		f.update(func() { f.failing = false })
		p.setCoordinator("c:2", false)
	})
	d, err := p.place(t.Context(), j)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
}

func TestCanceledPlacementIsReportedToCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{unresponsive: true}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := p.place(ctx, testJob("j"))
	g.Expect(err).To(MatchError(context.Canceled))
	g.Eventually(f.endedJobs).Should(Equal([]string{"j"}))
}

func TestDropEntryReleasesItsJobs(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	var others []schedule.PlacedJob
	for _, id := range []string{"a", "b", "c", "d"} {
		j := testJob(id)
		j.Owner = "other"
		others = append(others, schedule.PlacedJob{Job: j, Decision: schedule.Decision{Job: id, Endpoint: "e-near"}})
	}
	p.reconcile("other", others)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := p.place(ctx, testJob("j"))
	g.Expect(err).To(HaveOccurred(), "the engine has no free slot")
	p.dropEntry("other")
	d, err := p.place(t.Context(), testJob("k"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
}

func TestPlainPicker(t *testing.T) {
	now := time.Unix(1000, 0)
	announced := func(id, domain string, age time.Duration) announce.Record {
		return announce.Record{Endpoint: announce.Endpoint{ID: id, FailureDomain: domain}, At: now.Add(-age)}
	}
	tests := []struct {
		name       string
		endpoints  []announce.Record
		inProgress map[string]int
		exclude    []string
		failing    []string
		want       string
	}{
		{"prefers own failure domain", []announce.Record{announced("a", "y", 0), announced("b", "x", 0)}, nil, nil, nil, "b"},
		{"prefers fewest requests", []announce.Record{announced("a", "y", 0), announced("b", "x", 0)}, map[string]int{"b": 2}, nil, nil, "a"},
		{"skips excluded endpoint", []announce.Record{announced("a", "y", 0), announced("b", "x", 0)}, nil, []string{"b"}, nil, "a"},
		{"blocked endpoint last", []announce.Record{announced("a", "y", 0), announced("b", "x", 0)}, map[string]int{"a": 5}, nil, []string{"b"}, "a"},
		{"avoids stale endpoint", []announce.Record{announced("a", "y", 0), announced("b", "x", time.Minute)}, nil, nil, nil, "a"},
		{"no endpoints", nil, nil, nil, nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := breaker.NewSet()
			for _, id := range test.failing {
				for range 5 {
					b.RecordFailure(now, id)
				}
			}
			p := newPlainPicker()
			for id, n := range test.inProgress {
				p.inProgress[id] = n
			}
			h, _ := p.pick(test.endpoints, test.exclude, "x", b, 0, nil, soundLinks, now)
			NewWithT(t).Expect(h.ID).To(Equal(test.want))
		})
	}
}

// TestCoordinatorCountsFailuresOfAllEntries checks that failures reported by several
// entries, each too few to open a breaker, open the coordinator's breaker.
func TestCoordinatorCountsFailuresOfAllEntries(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	for i, owner := range []string{"a", "b", "c"} {
		j := testJob(owner)
		j.Owner = owner
		p.reconcile(owner, []schedule.PlacedJob{{Job: j, Decision: schedule.Decision{Job: owner, Endpoint: "e-near"}}})
		g.Expect(p.breakers.State("e-near")).To(Equal(breaker.Closed), "after %d failures", i)
		p.recordRemoteOutcome(jobReport{Job: owner, End: schedule.Failed})
	}
	g.Expect(p.breakers.State("e-near")).To(Equal(breaker.Open))
}

// TestCoordinatorBreakerDecidesAgainAfterPause checks that failures after a breaker's
// pause block the endpoint again, and that a success closes the breaker.
func TestCoordinatorBreakerDecidesAgainAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newTestPlacer(&fakeCoordinator{})
		n := 0
		report := func(end schedule.Outcome, started bool) {
			n++
			id := fmt.Sprint("j", n)
			j := testJob(id)
			j.Owner = "a"
			p.reconcile("a", []schedule.PlacedJob{{Job: j, Decision: schedule.Decision{Job: id, Endpoint: "e-near"}, Decoding: started}})
			p.recordRemoteOutcome(jobReport{Job: id, End: end})
		}
		blocked := func() bool { return p.breakers.Blocked(time.Now(), "e-near") }
		for range 3 {
			report(schedule.Failed, false)
		}
		g.Expect(blocked()).To(BeTrue())
		time.Sleep(2 * time.Second)
		g.Expect(blocked()).To(BeFalse())
		for range 5 {
			report(schedule.Failed, false)
		}
		g.Expect(blocked()).To(BeTrue(), "it failed again after the pause")
		time.Sleep(3 * time.Second)
		report(schedule.Done, true)
		g.Expect(p.breakers.State("e-near")).To(Equal(breaker.Closed))
	})
}

// TestLocallyQueuedJobMovesToNewCoordinator guards against requests that stay queued on
// an entry which started without a coordinator and without capacity.
func TestLocallyQueuedJobMovesToNewCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{}
	p := newTestPlacer(f)
	setEndpoints := func(all ...announce.Record) {
		p.setEndpoints(func(string) []announce.Record { return all }, time.Now())
	}
	setEndpoints()
	decided := make(chan schedule.Decision, 1)
	go func() {
		d, err := p.place(t.Context(), testJob("j"))
		if err == nil {
			decided <- d
		}
	}()
	g.Eventually(func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.schedulers["s"].QueueLength()
	}).Should(Equal(1))
	setEndpoints(announce.Record{Endpoint: announce.Endpoint{ID: "e-near", Address: "1:1"}})
	time.Sleep(50 * time.Millisecond) // minimum interval between two passes over the queue
	p.setCoordinator("c:1", false)
	g.Eventually(decided, "200ms").Should(Receive(HaveField("Endpoint", "e-far")))
	g.Expect(p.runningJobs()).To(ConsistOf(HaveField("Decision.Endpoint", "e-far")), "only the delivered decision is recorded as running")
}

// TestHandoverRejectsQueuedJobsOfOtherEntries guards against jobs of other entries that
// stay queued on a former coordinator, where they are no longer placed.
func TestHandoverRejectsQueuedJobsOfOtherEntries(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	p.setEndpoints(func(string) []announce.Record { return nil }, time.Now())
	j := testJob("j")
	j.Owner = "other"
	result := make(chan error, 1)
	go func() {
		_, err := p.placeForPeer(t.Context(), j)
		result <- err
	}()
	g.Eventually(func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.schedulers["s"].QueueLength()
	}).Should(Equal(1))
	p.setCoordinator("c:2", false)
	g.Eventually(result, "200ms").Should(Receive(MatchError(errNotCoordinator)))
}

// A coordinator that froze keeps calls open. An entry notices it long before the job's
// queueing time ends, so that short jobs that arrive meanwhile are placed on time.
func TestFrozenCoordinatorIsNoticedByPing(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{frozen: true}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	started := time.Now()
	d, err := p.place(t.Context(), testJob("j"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
	job := testJob("j")
	g.Expect(time.Since(started)).To(BeNumerically("<", job.MaxWait()), "a job that is queued there waits longer")
}

// A coordinator that answers pings queues the job, so the entry goes on waiting.
func TestQueuedCallSurvivesPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeCoordinator{queueing: 3 * pingDelay}
		p := newTestPlacer(f)
		p.setCoordinator("c:1", false)
		d, err := p.place(t.Context(), testJob("j"))
		g.Expect(err).ToNot(HaveOccurred())
		g.Expect(d.Endpoint).To(Equal("e-far"))
		time.Sleep(pingTimeout) // the hedged calls end
	})
}

// An entry that starts with others knows no coordinator for a moment. What may wait does:
// eight entries that place huge prompts by themselves put them all on the same engines.
func TestLongOrLateJobWaitsForFirstCoordinator(t *testing.T) {
	for name, change := range map[string]func(*schedule.Job){
		"long": func(j *schedule.Job) { j.Goal = 3 * time.Second },
		"late": func(j *schedule.Job) { j.Goal = -time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newTestPlacer(&fakeCoordinator{})
			j := testJob("j")
			change(&j)
			time.AfterFunc(100*time.Millisecond, func() { p.setCoordinator("c:1", false) })
			d, err := p.place(t.Context(), j)
			g.Expect(err).ToNot(HaveOccurred())
			g.Expect(d.Endpoint).To(Equal("e-far"))
		})
	}
}

// A new coordinator learns the jobs of an entry before the entry's next request.
func TestNewCoordinatorReceivesJobsAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{}
	p := newTestPlacer(f)
	_, err := p.place(t.Context(), testJob("running"))
	g.Expect(err).ToNot(HaveOccurred())
	p.setCoordinator("c:1", false)
	g.Eventually(func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.adopted)
	}).Should(Equal(1))
	g.Expect(f.adopted[0]).To(HaveLen(1))
}

// TestCoordinatorAwaitsItsConfiguration places a job at a coordinator that has not applied
// the configuration of the job's service yet.
func TestCoordinatorAwaitsItsConfiguration(t *testing.T) {
	g := NewWithT(t)
	configured := newTestPlacer(&fakeCoordinator{})
	var p *placer
	// On a busy machine the configuration may come only after maxConfigurationWait. A job is
	// refused without it then, and no sooner.
	g.Eventually(func() string {
		coordinator := newPlacer("me", breaker.NewSet(), ratelimit.NewTable(), blame.NewStore(), &fakeCoordinator{}, slog.New(slog.DiscardHandler))
		coordinator.setCoordinator("", true)
		time.AfterFunc(50*time.Millisecond, func() {
			coordinator.mu.Lock()
			defer coordinator.mu.Unlock()
			coordinator.schedulers = configured.schedulers
		})
		p = coordinator
		started := time.Now()
		d, err := p.placeForPeer(t.Context(), testJob("j"))
		g.Expect(err).ToNot(HaveOccurred())
		if d.Refused() {
			g.Expect(time.Since(started)).To(BeNumerically(">=", maxConfigurationWait))
		}
		return d.Endpoint
	}).WithTimeout(30 * time.Second).Should(Equal("e-near"))

	started := time.Now()
	unknown := testJob("k")
	unknown.Service = "unknown"
	d, err := p.placeForPeer(t.Context(), unknown)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Refused()).To(BeTrue())
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
}
