package quorum

import "github.com/VictoriaMetrics/metrics"

var repairSteps = metrics.NewCounter("jacinthplank_quorum_repair_steps_total")

// repair takes the next step to replace a voter that lost its disk: the new
// disk under the same name is added as a learner, promoted once it is caught
// up, and then the old disk is removed. Each step is one change of members.
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
	for _, old := range c.Configuration().Voters {
		if !c.isSilent(old.Disk) {
			continue
		}
		for _, m := range c.Configuration().Members() {
			isOther := m.Name == old.Name && m.Disk != old.Disk && !c.isSilent(m.Disk)
			_, isVoter := c.Configuration().Voter(m.Disk)
			switch {
			case isOther && isVoter:
				return Change{Kind: Remove, Member: old}, true
			case isOther && c.isCaughtUp(m.Disk):
				return Change{Kind: Promote, Member: m}, true
			}
		}
		for _, m := range strangers {
			if m.Name == old.Name {
				return Change{Kind: AddLearner, Member: m}, true
			}
		}
	}
	return Change{}, false
}

// isSilent reports whether a member did not answer this leader for twice the
// election timeout.
func (c *Core) isSilent(disk DiskIdentity) bool {
	p := c.leading.progress[disk]
	return disk != c.config.Self && p != nil && c.now-p.heard > uint64(2*c.config.ElectionTicks)
}
