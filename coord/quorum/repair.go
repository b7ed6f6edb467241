package quorum

import "github.com/VictoriaMetrics/metrics"

var repairSteps = metrics.NewCounter("jacinthplank_quorum_repair_steps_total")

// repair takes the next step to replace a voter that lost its disk: the new
// disk under the same name is added as a learner, the old disk is removed once
// the new one is caught up, and then the new one is promoted. Each step is one
// change of members.
//
// The old disk goes first: with a dead voter still counted beside the new one,
// the loss of the new one would leave too few voters.
func (n *Node) repair(strangers []Member) {
	change, ok := n.core.nextRepair(strangers)
	if !ok {
		return
	}
	if _, _, err := n.core.ChangeMember(change); err != nil {
		return
	}
	repairSteps.Inc()
	n.options.Logger.Info("member replaced", "step", change.Kind.String(),
		"member", change.Member.Name, "disk", change.Member.Disk)
}

// nextRepair returns the change that brings a repair on, later steps first.
func (c *Core) nextRepair(strangers []Member) (Change, bool) {
	for _, learner := range c.Configuration().Learners {
		if change, ok := c.advanceReplacement(learner); ok {
			return change, true
		}
	}
	for _, stranger := range strangers {
		if replaced, ok := c.replacedBy(stranger); ok {
			stranger.Replaces = replaced
			return Change{Kind: AddLearner, Member: stranger}, true
		}
	}
	return Change{}, false
}

// advanceReplacement returns the next step of a learner that replaces a voter.
func (c *Core) advanceReplacement(learner Member) (Change, bool) {
	old, isVoter := c.Configuration().Voter(learner.Replaces)
	switch {
	case learner.Replaces == "":
		return Change{}, false
	case c.isSilent(learner.Disk):
		return Change{Kind: Remove, Member: learner}, c.isNameAnswering(learner.Name)
	case !c.isCaughtUp(learner.Disk):
		return Change{}, false
	case !isVoter:
		return Change{Kind: Promote, Member: learner}, true
	default:
		return Change{Kind: Remove, Member: old}, c.isSilent(old.Disk)
	}
}

// replacedBy returns the disk in whose place a new disk comes: that of a silent
// member with the same name.
func (c *Core) replacedBy(stranger Member) (DiskIdentity, bool) {
	_, isMember := c.Configuration().Member(stranger.Disk)
	if isMember || c.isNameAnswering(stranger.Name) {
		return "", false
	}
	for _, m := range c.Configuration().Members() {
		_, isVoter := c.Configuration().Voter(m.Disk)
		if m.Name == stranger.Name && (isVoter || m.Replaces != "") {
			return m.Disk, true
		}
	}
	return "", false
}

// isNameAnswering reports whether some disk under a name answers.
func (c *Core) isNameAnswering(name string) bool {
	for _, m := range c.Configuration().Members() {
		if m.Name == name && !c.isSilent(m.Disk) {
			return true
		}
	}
	return false
}

// isSilent reports whether a member did not answer this leader for twice the
// election timeout.
func (c *Core) isSilent(disk DiskIdentity) bool {
	p := c.leading.progress[disk]
	return disk != c.config.Self && p != nil && c.now-p.heard > uint64(2*c.config.ElectionTicks)
}
