package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// fakeCoordinator is a coordinator whose failures a test chooses.
type fakeCoordinator struct {
	mu      sync.Mutex
	fails   bool
	moved   string // address that it names as the coordinator
	silent  bool   // it never answers
	asked   int
	adopted [][]schedule.PlacedJob
	reports []report
}

func (f *fakeCoordinator) place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error) {
	f.mu.Lock()
	if f.moved != "" && f.moved != address {
		defer f.mu.Unlock()
		return schedule.Decision{}, &movedError{leader: f.moved}
	}
	f.asked++
	fails, silent := f.fails, f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return schedule.Decision{}, ctx.Err()
	}
	if fails {
		return schedule.Decision{}, errors.New("gone")
	}
	return schedule.Decision{Job: j.ID, Endpoint: "e-far", Address: "9:9"}, nil
}

func (f *fakeCoordinator) adopt(_ context.Context, _, _ string, running []schedule.PlacedJob) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails {
		return errors.New("gone")
	}
	f.adopted = append(f.adopted, running)
	return nil
}

func (f *fakeCoordinator) report(_ context.Context, _ string, reports []report) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, reports...)
	return nil
}

func (f *fakeCoordinator) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeCoordinator) ends() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, r := range f.reports {
		if !r.Started {
			out = append(out, r.Job)
		}
	}
	return out
}

func newTestPlacer(f *fakeCoordinator) *placer {
	p := newPlacer("me", breaker.NewSet(), f, slog.New(slog.DiscardHandler))
	p.configure(&route.Table{Services: []route.Service{{Name: "s", Engine: &schedule.EngineProfile{
		Slots: 4, MemoryTokens: 100_000, StepsPerPass: 10, Step: time.Millisecond, PrefillPerSecond: 100_000, ChunkTokens: 1000,
	}}}})
	p.refresh(func(string) []announce.Record {
		return []announce.Record{{Endpoint: announce.Endpoint{ID: "e-near", Address: "1:1"}}}
	}, time.Now())
	return p
}

func testJob(id string) schedule.Job {
	return schedule.Job{ID: id, Service: "s", Prompt: 1000, Answer: 10, Goal: 300 * time.Millisecond, PauseGoal: 200 * time.Millisecond, Remaining: 5 * time.Second}
}

func TestTheCoordinatorPlaces(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	d, err := p.place(t.Context(), testJob("j"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
	p.ended("j", schedule.Done)
	g.Eventually(f.ends).Should(Equal([]string{"j"}))
}

func TestACoordinatorThatHandedOverNamesTheNext(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{moved: "c:2"})
	var told string
	p.moved = func(address string) { told = address }
	p.setCoordinator("c:1", false)
	d, err := p.place(t.Context(), testJob("j"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
	g.Expect(told).To(Equal("c:2"))
}

func TestWithoutACoordinatorAnEntryPlacesItself(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	d, err := p.place(t.Context(), testJob("j"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
}

// TestACoordinatorThatFailsIsNotAskedForAWhile and is told everything when it is
// asked again.
func TestACoordinatorThatFailsIsNotAskedForAWhile(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	_, err := p.place(t.Context(), testJob("before"))
	g.Expect(err).ToNot(HaveOccurred())
	f.set(func() { f.fails = true })
	d, err := p.place(t.Context(), testJob("a"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
	asked := f.asked
	_, err = p.place(t.Context(), testJob("b"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(f.asked).To(Equal(asked))
	f.set(func() { f.fails = false })
	time.Sleep(distrust)
	d, err = p.place(t.Context(), testJob("c"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
	g.Expect(f.adopted[len(f.adopted)-1]).To(HaveLen(3), "before, a and b run")
}

// TestASilentCoordinatorHoldsUpNobodyForLong: it was frozen.
func TestASilentCoordinatorHoldsUpNobodyForLong(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{silent: true}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	j := testJob("j")
	began := time.Now()
	d, err := p.place(t.Context(), j)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
	g.Expect(time.Since(began)).To(BeNumerically("<", j.MaxWait()+placeReserve+200*time.Millisecond))
}

// TestALongPromptWaitsForTheNextCoordinator: by itself an entry would put it where
// it hurts most.
func TestALongPromptWaitsForTheNextCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{fails: true}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	j := testJob("j")
	j.Goal = 3 * time.Second
	time.AfterFunc(100*time.Millisecond, func() {
		f.set(func() { f.fails = false })
		p.setCoordinator("c:2", false)
	})
	d, err := p.place(t.Context(), j)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-far"))
}

func TestACallerThatLeavesIsToldToTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{silent: true}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := p.place(ctx, testJob("j"))
	g.Expect(err).To(MatchError(context.Canceled))
	g.Eventually(f.ends).Should(Equal([]string{"j"}))
}

func TestJobsOfAnEntryThatIsGoneAreDropped(t *testing.T) {
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
	g.Expect(err).To(HaveOccurred(), "the engine is full")
	p.dropEntry("other")
	d, err := p.place(t.Context(), testJob("k"))
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(d.Endpoint).To(Equal("e-near"))
}

func TestPlainEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	heard := func(id, domain string, age time.Duration) announce.Record {
		return announce.Record{Endpoint: announce.Endpoint{ID: id, FailureDomain: domain}, At: now.Add(-age)}
	}
	tests := []struct {
		name    string
		all     []announce.Record
		open    map[string]int
		exclude []string
		fails   []string
		want    string
	}{
		{"the own domain first", []announce.Record{heard("a", "y", 0), heard("b", "x", 0)}, nil, nil, nil, "b"},
		{"the fewest requests first", []announce.Record{heard("a", "y", 0), heard("b", "x", 0)}, map[string]int{"b": 2}, nil, nil, "a"},
		{"not one that failed this request", []announce.Record{heard("a", "y", 0), heard("b", "x", 0)}, nil, []string{"b"}, nil, "a"},
		{"a blocked one last", []announce.Record{heard("a", "y", 0), heard("b", "x", 0)}, map[string]int{"a": 5}, nil, []string{"b"}, "a"},
		{"a silent one late", []announce.Record{heard("a", "y", 0), heard("b", "x", time.Minute)}, nil, nil, nil, "a"},
		{"none", nil, nil, nil, nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := breaker.NewSet()
			for _, id := range test.fails {
				for range 5 {
					b.Failed(now, id)
				}
			}
			p := newPlainPicker()
			for id, n := range test.open {
				p.open[id] = n
			}
			h, _ := p.pick(test.all, test.exclude, "x", b, now)
			NewWithT(t).Expect(h.ID).To(Equal(test.want))
		})
	}
}

// TestTheCoordinatorSeesTheFailuresOfAll: each entry alone has too few to tell.
func TestTheCoordinatorSeesTheFailuresOfAll(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	for i, owner := range []string{"a", "b", "c"} {
		j := testJob(owner)
		j.Owner = owner
		p.reconcile(owner, []schedule.PlacedJob{{Job: j, Decision: schedule.Decision{Job: owner, Endpoint: "e-near"}}})
		g.Expect(p.breakers.State("e-near")).To(Equal(breaker.Closed), "after %d failures", i)
		p.judge(report{Job: owner, End: schedule.Failed})
	}
	g.Expect(p.breakers.State("e-near")).To(Equal(breaker.Open))
}

// TestAJobThatWaitsHereIsDecidedWhenACoordinatorComes: an entry that starts has no
// coordinator and may have no room; its callers must not wait until they leave.
func TestAJobThatWaitsHereIsDecidedWhenACoordinatorComes(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{}
	p := newTestPlacer(f)
	endpoints := func(all ...announce.Record) { p.refresh(func(string) []announce.Record { return all }, time.Now()) }
	endpoints()
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
	endpoints(announce.Record{Endpoint: announce.Endpoint{ID: "e-near", Address: "1:1"}})
	time.Sleep(50 * time.Millisecond) // the queue is looked at no more often
	p.setCoordinator("c:1", false)
	g.Eventually(decided, "200ms").Should(Receive(HaveField("Endpoint", "e-far")))
	g.Expect(p.running()).To(ConsistOf(HaveField("Decision.Endpoint", "e-far")), "nothing runs that nobody was told of")
}

// TestACoordinatorThatHandsOverSendsItsQuestionersOn: a job of another entry that
// waits here would wait for nothing.
func TestACoordinatorThatHandsOverSendsItsQuestionersOn(t *testing.T) {
	g := NewWithT(t)
	p := newTestPlacer(&fakeCoordinator{})
	p.refresh(func(string) []announce.Record { return nil }, time.Now())
	j := testJob("j")
	j.Owner = "other"
	answered := make(chan error, 1)
	go func() {
		_, err := p.placeForOther(t.Context(), j)
		answered <- err
	}()
	g.Eventually(func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.schedulers["s"].QueueLength()
	}).Should(Equal(1))
	p.setCoordinator("c:2", false)
	g.Eventually(answered, "200ms").Should(Receive(MatchError(errNotCoordinator)))
}
