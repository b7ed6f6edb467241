package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/blame"
)

// judgeEnds answers what an entry tells of the ends of endpoints.
func (f *fakeCoordinator) judgeEnds(r *blameRequest) *blame.Verdicts {
	if f.judge == nil {
		return nil
	}
	f.told = append(f.told, r.Blame)
	f.judge.Merge(&r.Blame, time.Now())
	return f.judge.Tell(r.Verdicts, time.Now())
}

var badKeys = []blame.Key{blame.PartKey("sound"), blame.PartKey("bad")}

// endUnder records the end of an endpoint under requests with badKeys.
func (p *placer) endUnder(endpoint string) {
	run, now := announce.Run{ID: endpoint}, time.Now()
	p.reportEnd(p.blame.RecordEnd(run, badKeys, now.Add(-time.Second), now, now))
	time.Sleep(150 * time.Millisecond) // until the next end is another occasion
}

func (p *placer) isBlamed() bool {
	_, isBlamed := p.blame.Blamed(badKeys, time.Now())
	return isBlamed
}

// Guards against an entry that sends what the coordinator blames, although it saw none of
// the ends, has no jobs or has just started.
func TestEntriesLearnWhatTheCoordinatorBlames(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{judge: blame.NewStore()}
	var entries []*placer
	for range 3 {
		p := newTestPlacer(f)
		p.setCoordinator("c:1", false)
		entries = append(entries, p)
	}
	g.Eventually(func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.adopted)
	}).Should(Equal(len(entries)))
	for n := range 4 {
		entries[n%2].endUnder(fmt.Sprint("e-", n))
	}
	for _, p := range entries {
		p.resyncJobs(t.Context())
		g.Expect(p.isBlamed()).To(BeTrue())
	}
	started := newTestPlacer(f)
	started.setCoordinator("c:1", false)
	g.Eventually(started.isBlamed).Should(BeTrue())
}

// Guards against retries whose order is lost on the way, as a message to the coordinator carries
// no clock: it needs those without ends to know how long one takes.
func TestEntriesTellTheirClock(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{judge: blame.NewStore()}
	p := newTestPlacer(f)
	p.setCoordinator("c:1", false)
	told := func() []blame.Report {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Clone(f.told)
	}
	g.Eventually(told).Should(HaveLen(1))
	p.resyncJobs(t.Context())
	p.endUnder("e-1")
	g.Eventually(told).Should(HaveLen(3))
	var last time.Duration
	for _, r := range told() {
		g.Expect(r.Sender).To(Equal(told()[0].Sender))
		g.Expect(r.Sender).NotTo(BeZero())
		g.Expect(r.Clock).To(BeNumerically(">=", last))
		last = r.Clock
	}
	g.Expect(last).To(BeNumerically(">", 0))
}

// Guards against ends and verdicts that are lost with the coordinator, or because none
// answers when they happen.
func TestBlameOutlivesTheCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{judge: blame.NewStore()}
	p, other := newTestPlacer(f), newTestPlacer(f)
	p.setCoordinator("c:1", false)
	other.setCoordinator("c:1", false)
	p.endUnder("e-1")
	other.endUnder("e-2")
	f.update(func() { f.failing, f.judge = true, blame.NewStore() })
	p.resyncJobs(t.Context())
	p.endUnder("e-3")
	g.Expect(p.isBlamed()).To(BeFalse(), "the entry has seen only two of the ends")
	f.update(func() { f.failing = false })
	p.setCoordinator("c:2", false)
	other.setCoordinator("c:2", false)
	g.Eventually(func() bool {
		other.resyncJobs(t.Context())
		return other.isBlamed()
	}, "3s").Should(BeTrue(), "the next coordinator has been told of all of them")

	p.resyncJobs(t.Context())
	g.Expect(p.isBlamed()).To(BeTrue())
	f.update(func() { f.judge = blame.NewStore() }) // it started again at the same address
	p.resyncJobs(t.Context())
	g.Expect(p.isBlamed()).To(BeTrue(), "it has not been told yet")
	p.resyncJobs(t.Context())
	g.Eventually(func() bool {
		_, isBlamed := f.judge.Blamed(badKeys, time.Now())
		return isBlamed
	}, "3s").Should(BeTrue())
}
