package quorum

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// TestEachMemberLogsItsConfiguration guards against a record that can't tell whether two members
// count different voters: each member logs what its own log holds, at the start, committed or
// not, and when an uncommitted change is dropped again.
func TestEachMemberLogsItsConfiguration(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	names := []string{"front-zone-one-1", "front-zone-one-2", "front-zone-two-1", "front-zone-two-2", "front-zone-three-1", "front-zone-three-2"}
	var voters []Member
	for i, name := range names {
		voters = append(voters, Member{Name: name, Disk: DiskIdentity(fmt.Sprint(i))})
	}
	core := NewCore(CoreConfig{Self: "4", ElectionTicks: 20, JitterTicks: 16, Rand: rand.New(rand.NewPCG(1, 1))}, PersistedState{})
	n := &Node{core: core, self: Member{Name: names[4], Disk: "4"}, options: Options{Logger: collectedLogger(&out)}}
	lines := func() []string {
		n.reportConfiguration()
		n.reportConfiguration() // says nothing again
		text := cutLines(&out)
		out.Reset()
		return text
	}
	// hold makes the log hold a configuration, at the given index.
	hold := func(index uint64, c Configuration) {
		core.configurations = append(core.configurations, indexedConfiguration{index, c})
	}
	expect := func(want string) {
		t.Helper()
		g.Expect(lines()).To(HaveExactElements(ContainSubstring(want)))
	}

	expect(`"msg":"members","instance":"front-zone-three-1","voters":0,"learners":0,"change":"start","index":0,"committed":true,"role":"none"`)
	hold(1, Configuration{Voters: voters[:4]})
	expect(`"voters":4,"learners":0,"change":"add one-1 +3","index":1,"committed":false,"role":"none"`)
	core.commit = 1
	expect(`"voters":4,"learners":0,"change":"commit","index":1,"committed":true,"role":"none"`)
	added := Configuration{Voters: voters[:4], Learners: voters[4:5]}
	hold(10000, added)
	expect(`"voters":4,"learners":1,"change":"add three-1","index":10000,"committed":false,"role":"learner"`)
	core.commit = 10000
	expect(`"change":"commit","index":10000,"committed":true,"role":"learner"`)
	promoted, err := added.With(Change{Kind: Promote, Member: voters[4]})
	g.Expect(err).NotTo(HaveOccurred())
	hold(12345, promoted)
	expect(`"voters":5,"learners":0,"change":"promote three-1","index":12345,"committed":false,"role":"voter`)
	core.configurations = core.configurations[:len(core.configurations)-1]
	expect(`"voters":4,"learners":1,"change":"undo promote three-1","index":10000,"committed":true,"role":"l`)
	removed, err := added.With(Change{Kind: Remove, Member: voters[1]})
	g.Expect(err).NotTo(HaveOccurred())
	hold(12345, removed)
	expect(`"voters":3,"learners":1,"change":"remove one-2","index":12345,"committed":false,"role":"learner"`)
	// Another leader's entry in the same place, between two reports.
	core.configurations[len(core.configurations)-1].configuration = promoted
	expect(`"voters":5,"learners":0,"change":"add one-2 +1","index":12345,"committed":false,"role":"v`)
}

// TestRunningMembersLogTheSameConfiguration checks that followers and learners log changes too.
func TestRunningMembersLogTheSameConfiguration(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	var nodes []*Node
	outs := make([]bytes.Buffer, len(s.members))
	for i := range s.members {
		n := &Node{core: s.members[i].core, self: s.members[i].core.self(), options: Options{Logger: collectedLogger(&outs[i])}}
		n.reportConfiguration()
		nodes = append(nodes, n)
	}
	_, _, err := s.members[leader].core.ChangeMember(Change{Kind: AddLearner, Member: Member{Name: "front-zone-one-1", Disk: "new"}})
	g.Expect(err).NotTo(HaveOccurred())
	s.handleReady(leader)
	for range 10 {
		s.deliverAll(true)
		for i := range s.members {
			s.tick(i)
			nodes[i].reportConfiguration()
		}
	}
	for i := range s.members {
		g.Expect(outs[i].String()).To(MatchRegexp(`"voters":3,"learners":1,"change":"add [^"]*one-1","index":\d+,"committed":(true|false),"role":"voter"`))
		g.Expect(outs[i].String()).To(MatchRegexp(`"voters":3,"learners":1,"change":"(commit|add [^"]*)","index":\d+,"committed":true,"role":"voter"`))
	}
}
