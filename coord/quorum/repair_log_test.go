package quorum

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

// TestCutLineOfRepairTellsVotersAndReason guards against a step of a repair whose effect on the
// majority, reason or failure can't be told from the log.
func TestCutLineOfRepairTellsVotersAndReason(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	var out bytes.Buffer
	lines := func() []string {
		text := cutLines(&out)
		out.Reset()
		return text
	}
	core := s.members[leader].core
	n := &Node{core: core, options: Options{Tick: DefaultTick, Logger: collectedLogger(&out)}}
	disk := Member{Name: "front-zone-three-1", Disk: "new"}
	steps := []Change{
		{Kind: AddLearner, Member: disk}, {Kind: Promote, Member: disk}, {Kind: Remove, Member: s.members[(leader+1)%3].core.self()},
	}
	for _, change := range steps {
		n.logRepair(change, n.repairReason(change), nil)
	}
	g.Expect(lines()).To(HaveExactElements(
		ContainSubstring(`"voters":3,"learners":0,"change":"add_learner front-zone-three-1","reason":"new disk"`),
		ContainSubstring(`"voters":3,"learners":0,"change":"promote front-zone-three-1","reason":"caught up"`),
		MatchRegexp(`"voters":3,"learners":0,"change":"remove [^"]*","reason":"silent for \d+ ms"`),
	))

	// A step that waits for the one before it is no fault; one that fails for seconds is.
	start := core.now + 1000
	const seconds = 20
	for tick := uint64(0); tick < seconds*40; tick += 4 {
		core.now = start + tick
		n.logRepair(steps[1], "caught up", ErrNotCaughtUp)
	}
	g.Expect(lines()).To(And(HaveLen(seconds/2-1), HaveEach(ContainSubstring(
		`"voters":3,"learners":0,"change":"promote front-zone-three-1","error":"learner has not c`))))
	core.now += 1000
	for range 5 {
		core.now += 4
		n.logRepair(steps[1], "caught up", ErrChangePending)
	}
	g.Expect(lines()).To(BeEmpty())
}
