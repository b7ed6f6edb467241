package quorum

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestDiskIsExpendableOnlyWithAMajorityElsewhere guards against the emptying of a disk that
// holds one of the copies that make an entry committed.
func TestDiskIsExpendableOnlyWithAMajorityElsewhere(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	holder, lagging := (leader+1)%3, (leader+2)%3
	core, name := s.members[leader].core, s.members[holder].name
	g.Expect(core.confirmExpendable(name)).To(Succeed())
	g.Expect(core.confirmExpendable("of another quorum")).To(Succeed())
	g.Expect(s.members[holder].core.confirmExpendable(name)).To(MatchError(ErrNoQuorum), "only the leader knows")

	// One voter replies and has not synced what the others have.
	before := core.Commit()
	s.propose(leader, "x")
	s.deliverAll(false)
	s.sync(leader, 1)
	s.sync(holder, 1)
	s.deliverAll(false)
	g.Expect(core.Commit()).To(Equal(before + 1))
	g.Expect(core.confirmExpendable(name)).To(MatchError(ErrNotExpendable))
	g.Expect(core.confirmExpendable(s.members[lagging].name)).To(Succeed())
	s.sync(lagging, 1)
	s.deliverAll(false)
	g.Expect(core.confirmExpendable(name)).To(Succeed())

	_, _, err := core.ChangeMember(Change{Kind: AddLearner, Member: Member{Name: "a", Disk: "a"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(core.confirmExpendable(name)).To(MatchError(ErrChangePending))
}
