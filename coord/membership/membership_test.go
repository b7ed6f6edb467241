package membership_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/coord/membership"
)

func alive(r membership.Record) bool { return r.State == membership.Alive }
func dead(r membership.Record) bool  { return r.State == membership.Dead }

func (f *fleet) converged() bool {
	for _, name := range f.names {
		if !f.allMatch(name, alive) {
			return false
		}
	}
	return true
}

func TestMembershipConverges(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 20, 60)
	rounds, ok := f.runUntil(12, f.converged)
	g.Expect(ok).To(BeTrue())
	t.Logf("converged after %d rounds", rounds)
}

func TestNoRecordsSentOnceConverged(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(2, 10, 30)
	f.runUntil(12, f.converged)
	f.runUntil(3, func() bool { return false })
	f.records = 0
	f.runUntil(5, func() bool { return false })
	g.Expect(f.records).To(BeZero())
}

func TestStoppedMemberIsMarkedDead(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3, 10, 30)
	f.runUntil(12, f.converged)
	f.stopped["endpoint-7"] = true
	rounds, ok := f.runUntil(9, func() bool { return f.allMatch("endpoint-7", dead) })
	g.Expect(ok).To(BeTrue())
	t.Logf("marked dead by all members after %d rounds", rounds)

	f.start("endpoint-7", false, 2)
	_, ok = f.runUntil(8, func() bool { return f.allMatch("endpoint-7", alive) })
	g.Expect(ok).To(BeTrue(), "endpoint-7 is not alive everywhere after its restart")
}

func TestSingleWatcherCannotMarkMemberDead(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4, 10, 30)
	f.runUntil(12, f.converged)
	target := "endpoint-3"
	watcher := f.tables[target].Partners()[0]
	f.drop = func(from, to string) bool { return from == target && to == watcher }
	f.runUntil(20, func() bool { return false })

	n, _ := f.countMatching(target, dead)
	g.Expect(n).To(BeZero())
	for _, changes := range f.changes {
		for _, c := range changes {
			g.Expect(c.After.Name == target && c.After.State == membership.Dead).To(BeFalse())
		}
	}
}

func TestIsolatedWatcherSuspectsNoMember(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5, 10, 30)
	f.runUntil(12, f.converged)
	isolated := "entry-4"
	f.drop = func(from, to string) bool { return from == isolated || to == isolated }
	f.runUntil(10, func() bool { return false })

	for _, r := range f.tables[isolated].Members() {
		g.Expect(r.State).To(Equal(membership.Alive), r.Name)
	}
	f.drop = func(string, string) bool { return false }
	_, ok := f.runUntil(10, f.converged)
	g.Expect(ok).To(BeTrue(), "not converged after the partition healed")
}

func TestLeavingStateIsNotReverted(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6, 5, 10)
	f.runUntil(12, f.converged)
	late := f.tables["endpoint-1"].Prepare("entry-0")
	f.tables["endpoint-1"].SetState(membership.Leaving)
	leaving := func(r membership.Record) bool { return r.State == membership.Leaving }
	_, ok := f.runUntil(6, func() bool { return f.allMatch("endpoint-1", leaving) })
	g.Expect(ok).To(BeTrue())

	f.tables["entry-0"].Receive(late, f.now)
	r, _ := f.tables["entry-0"].Get("endpoint-1")
	g.Expect(r.State).To(Equal(membership.Leaving))
}

func TestMembershipConvergesAfterMessageLoss(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		f := newFleet(seed, 6, 12)
		f.drop = func(string, string) bool { return f.random.Float64() < loss }
		f.runUntil(15, func() bool { return false })
		f.drop = func(string, string) bool { return false }
		if _, ok := f.runUntil(60, f.converged); !ok {
			rt.Fatalf("not converged after message loss ended")
		}
	})
}

func BenchmarkHeartbeat(b *testing.B) {
	f := newFleet(7, 100, 500)
	f.runUntil(30, f.converged)
	a, w := f.tables["endpoint-9"], f.tables["endpoint-9"].Partners()[0]
	b.ReportAllocs()
	for b.Loop() {
		f.tables[w].Receive(a.Prepare(w), f.now)
		a.Receive(f.tables[w].Prepare("endpoint-9"), f.now)
	}
}
