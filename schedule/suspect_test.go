package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// long is the length of a prompt that is read with helpers.
const long = 80_000

// engines returns the engine of a decision and its helpers.
func engines(d schedule.Decision) []string {
	out := []string{d.Endpoint}
	for _, h := range d.Helpers {
		out = append(out, h.ID)
	}
	return out
}

// placeLong places a long prompt on an idle fleet and ends it.
func (f *limitedFleet) placeLong(g *WithT) schedule.Decision {
	all := f.submit(long)
	g.Expect(all).To(HaveLen(1))
	g.Expect(all[0].Helpers).NotTo(BeEmpty())
	f.Ended(all[0].Job, f.now)
	f.now = f.now.Add(10 * time.Millisecond)
	return all[0]
}

// Pattern: some engines crash together while long prompts arrive, each of which has many
// helpers. One failure is enough to keep an engine out of the prompts that follow, until
// it responds.
func TestCrashedEnginesHelpNoPrompt(t *testing.T) {
	g := NewWithT(t)
	f := newLimitedFleet(20, 0, 0)
	crashed := engines(f.placeLong(g))[:5]
	for _, id := range crashed {
		f.Suspect(id, f.now)
	}
	f.now = f.now.Add(time.Millisecond)
	for range 10 {
		for _, id := range engines(f.placeLong(g)) {
			g.Expect(crashed).NotTo(ContainElement(id))
		}
	}
	for _, id := range crashed {
		f.Respond(id, f.now.Add(-time.Second))
		g.Expect(engines(f.placeLong(g))).NotTo(ContainElement(id), "a response to an earlier call proves nothing")
		f.Respond(id, f.now)
	}
	used := map[string]bool{}
	for _, id := range engines(f.placeLong(g)) {
		used[id] = true
	}
	g.Expect(used).To(HaveKey(crashed[0]), "an engine that responds is used again")
}

// Pattern: the coordinator is cut off from most engines, which other entries still reach.
func TestSuspicionOfMostEnginesIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newLimitedFleet(20, 0, 0)
	helpers := len(f.placeLong(g).Helpers)
	for i := range 15 {
		f.Suspect(engineName(i), f.now)
	}
	g.Expect(f.placeLong(g).Helpers).To(HaveLen(helpers))
}

// Pattern: the only engine with capacity is suspected.
func TestSuspectedEngineIsUsedWhereNoOtherHasCapacity(t *testing.T) {
	g := NewWithT(t)
	f := newLimitedFleet(2, 0, 0)
	f.Suspect(engineName(0), f.now)
	placed := map[string]int{}
	for range 2 * modelProfile.Slots {
		for _, d := range f.submit(1000) {
			placed[d.Endpoint]++
		}
	}
	g.Expect(placed[engineName(1)]).To(BeNumerically(">", 0))
	g.Expect(placed[engineName(0)]).To(BeNumerically(">", 0), fmt.Sprint(placed))
}
