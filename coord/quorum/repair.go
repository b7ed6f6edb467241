package quorum

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

var repairSteps = metrics.NewCounter("jacinthplank_quorum_repair_steps_total")

// repair performs the next step of replacing a voter that lost its disk: the new
// disk with the same name is added as a learner, the old disk is removed once the
// learner is caught up, and then the learner is promoted. Each step is one
// membership change.
//
// The old disk is removed before the promotion: if the failed voter still counted
// next to the new one, losing the new one would leave too few voters.
func (n *Node) repair(unknownPeers []Member) {
	change, ok := n.core.nextRepair(unknownPeers)
	if !ok {
		return
	}
	reason := n.repairReason(change)
	_, _, err := n.core.ChangeMember(change)
	if err == nil {
		repairSteps.Inc()
	}
	n.logRepair(change, reason, err)
}

// nextRepair returns the next membership change of a repair. Replacements in
// progress take precedence over new ones.
func (c *Core) nextRepair(unknownPeers []Member) (Change, bool) {
	for _, learner := range c.Configuration().Learners {
		if change, ok := c.advanceReplacement(learner); ok {
			return change, true
		}
	}
	for _, peer := range unknownPeers {
		if replaced, ok := c.replacedBy(peer); ok {
			peer.Replaces = replaced
			return Change{Kind: AddLearner, Member: peer}, true
		}
	}
	return Change{}, false
}

// advanceReplacement returns the next change for a learner that replaces a voter.
func (c *Core) advanceReplacement(learner Member) (Change, bool) {
	replaced, isVoter := c.Configuration().Voter(learner.Replaces)
	switch {
	case learner.Replaces == "":
		return Change{}, false
	case c.isUnresponsive(learner.Disk):
		return Change{Kind: Remove, Member: learner}, c.isNameResponsive(learner.Name)
	case !isVoter:
		return Change{Kind: Promote, Member: learner}, c.mayPromote(learner.Disk)
	case !c.isCaughtUp(learner.Disk):
		return Change{}, false
	default:
		return Change{Kind: Remove, Member: replaced}, c.isGone(replaced.Disk)
	}
}

// replacedBy returns the disk that newMember replaces: the disk of a member with the
// same name that is gone.
func (c *Core) replacedBy(newMember Member) (DiskIdentity, bool) {
	_, isMember := c.Configuration().Member(newMember.Disk)
	isPresent := slices.ContainsFunc(c.Configuration().Members(), func(m Member) bool {
		return m.Name == newMember.Name && !c.isGone(m.Disk)
	})
	if isMember || isPresent {
		return "", false
	}
	for _, m := range c.Configuration().Members() {
		_, isVoter := c.Configuration().Voter(m.Disk)
		if m.Name == newMember.Name && (isVoter || m.Replaces != "") {
			return m.Disk, true
		}
	}
	return "", false
}

// isNameResponsive reports whether any disk with the given name is responsive.
func (c *Core) isNameResponsive(name string) bool {
	for _, m := range c.Configuration().Members() {
		if m.Name == name && !c.isUnresponsive(m.Disk) {
			return true
		}
	}
	return false
}

// isUnresponsive reports whether a member has not replied to this leader for
// twice the election timeout.
func (c *Core) isUnresponsive(disk DiskIdentity) bool {
	return disk != c.config.Self && c.silentTicks(disk) > uint64(2*c.config.ElectionTicks)
}

// isGone reports whether a member whose entry is known to run with another disk is gone. A new
// leader doesn't wait for the silence of one that has not replied to it: each change of leader would
// prolong the repair.
func (c *Core) isGone(disk DiskIdentity) bool {
	p := c.leaderState.progress[disk]
	return c.isUnresponsive(disk) || (disk != c.config.Self && p != nil && !p.hasReplied)
}

// silentTicks returns the ticks since a member's last reply to this leader, 0 for a disk
// that is not a member.
func (c *Core) silentTicks(disk DiskIdentity) uint64 {
	p := c.leaderState.progress[disk]
	if p == nil {
		return 0
	}
	return c.now - p.lastResponse
}
