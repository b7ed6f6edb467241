package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// newLimitedPlacer returns a placer that knows a limit of an endpoint, with its
// coordinator at c:1.
func newLimitedPlacer(t *testing.T, f *fakeCoordinator, perSecond float64) *placer {
	t.Helper()
	p := newTestPlacer(f)
	p.limits.Observe("e-near", ratelimit.LimitTo(perSecond), time.Now(), time.Now())
	p.setCoordinator("c:1", false)
	NewWithT(t).Eventually(func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.adopted)
	}).Should(Equal(1))
	return p
}

func TestPermitsComeFromCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeCoordinator{granted: 2}
		p := newLimitedPlacer(t, f, 100)
		for range 4 {
			ok, _ := p.takePermit(t.Context(), "e-near")
			g.Expect(ok).To(BeTrue())
		}
		g.Expect(f.permitCalls).To(Equal(2), "each call grants two requests")
		ok, _ := p.takePermit(t.Context(), "without-limit")
		g.Expect(ok).To(BeTrue())
		g.Expect(f.permitCalls).To(Equal(2))

		f.update(func() { f.granted, f.permitWait = 0, 150*time.Millisecond })
		for range 5 {
			ok, wait := p.takePermit(t.Context(), "e-near")
			g.Expect(ok).To(BeFalse())
			g.Expect(wait).To(BeNumerically(">", 0))
		}
		g.Expect(f.permitCalls).To(Equal(3), "it isn't asked again before there is something to grant")
	})
}

// Guards against entries that send an endpoint its whole limit each once they can't reach
// their coordinator.
func TestEntryHasItsShareOfLimitWithoutCoordinator(t *testing.T) {
	g := NewWithT(t)
	p := newLimitedPlacer(t, &fakeCoordinator{failing: false}, 2)
	failing := &fakeCoordinator{failing: true}
	p.client = failing
	p.limits.SetEntries(8)
	ok, wait := p.takePermit(t.Context(), "e-near")
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(ratelimit.Never))
	_, _ = p.takePermit(t.Context(), "e-near")
	g.Expect(failing.permitCalls).To(Equal(1), "it isn't called again for a while")
	p.limits.Observe("e-near", ratelimit.LimitTo(400), time.Now(), time.Now())
	g.Eventually(func() bool {
		ok, _ := p.takePermit(t.Context(), "e-near")
		return ok
	}).Should(BeTrue(), "a share of 25 a second")
}

// Guards against a coordinator that places requests beyond a limit that only another
// entry was told, and against entries that learn of it only by their own responses.
func TestLimitsAreSharedWithCoordinator(t *testing.T) {
	g := NewWithT(t)
	f := &fakeCoordinator{charges: map[string]int{}, limits: []limitReport{{Endpoint: "e-far", Limited: true, PerSecond: 3, Age: time.Second}}}
	p := newLimitedPlacer(t, f, 2)
	g.Eventually(func() bool {
		_, limited := p.limits.Limit("e-far")
		return limited
	}).Should(BeTrue())

	r, _ := p.limits.Observe("e-near", ratelimit.LimitTo(1), time.Now(), time.Now())
	p.reportLimit(r)
	p.chargeCall("e-near")
	p.chargeCall("without-limit")
	g.Eventually(func() (out []limitReport) {
		f.update(func() { out = f.reportedLimits })
		return out
	}).Should(ConsistOf(HaveField("PerSecond", 1.0)))
	g.Eventually(func() (out map[string]int) {
		f.update(func() { out = map[string]int{"e-near": f.charges["e-near"], "others": len(f.charges) - 1} })
		return out
	}).Should(Equal(map[string]int{"e-near": 1, "others": 0}))
}

func TestCoordinatorGrantsWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newTestPlacer(&fakeCoordinator{})
		p.setCoordinator("", true)
		request := &permitRequest{limitReport{Endpoint: "e-near", Limited: true, PerSecond: 20}}
		first := p.grant(request)
		g.Expect(first.Granted).To(BeZero(), "it has just learned of the limit")
		g.Expect(first.Wait).To(BeNumerically("~", 50*time.Millisecond, 10*time.Millisecond))
		time.Sleep(first.Wait + 5*time.Millisecond)
		g.Expect(p.grant(request).Granted).To(Equal(1))
		g.Expect(p.grant(request).Granted).To(BeZero())

		// The engine's placements come out of the same rate.
		d, err := p.place(t.Context(), schedule.Job{ID: "j", Service: "s", Prompt: 1000, Goal: 10 * time.Millisecond, Remaining: 30 * time.Millisecond})
		g.Expect(err).ToNot(HaveOccurred())
		g.Expect(d.Refused()).To(BeTrue(), "the only engine is at its limit")
	})
}
