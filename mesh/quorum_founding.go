package mesh

import (
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/gossip"
)

// bootstrap selects the founding members. Only the entry with the lowest address of
// the seeds does so; all entries have the same seeds when a fleet starts for the
// first time.
func (c *quorumManager) bootstrap(now time.Time) {
	o := c.mesh.options
	if !o.FirstStart || len(o.Seeds) == 0 || slices.Min(o.Seeds) != o.Address || now.Sub(c.mesh.startedAt) < bootstrapDelay {
		return
	}
	c.mu.Lock()
	known := len(c.founders) > 0
	c.mu.Unlock()
	if known || len(c.knownVoters()) > 0 {
		return
	}
	founders := c.eligibleFounders()
	if len(founders) == 0 || !c.mayFound(founders) {
		return
	}
	c.mu.Lock()
	c.founders = founders
	c.mu.Unlock()
	c.log.Info("founding quorum members selected", "step", "mesh.found", "members", len(founders))
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	all := c.mesh.activePeers(now)
	c.mesh.notify(all, len(all))
}

// eligibleFounders returns the live entries with a disk that started with the whole fleet. One
// that came later in the place of a lost one makes no promise: it joins the quorum.
func (c *quorumManager) eligibleFounders() []quorum.Member {
	var out []quorum.Member
	for _, r := range c.mesh.gossip.Members() {
		if !r.State.Gone() && hasDisk(r) && gossip.Facts(r).GetFirstStart() {
			out = append(out, quorum.Member{Name: r.Name, Address: r.Address})
		}
	}
	return out
}

// mayFound reports whether the founders are enough of the fleet. An entry that is cut off would
// found a quorum alone, whose one disk may be lost with what it has acknowledged, and would
// leave the others without one.
func (c *quorumManager) mayFound(founders []quorum.Member) bool {
	isAllowed := areMajorityOfSeeds(len(founders), c.mesh.options.Seeds, c.mesh.gossip.Members())
	if !isAllowed && !c.foundingWaits {
		c.log.Warn("founding waits for further entries with a disk", "step", "mesh.found", "known", len(founders), "seeds", c.mesh.options.Seeds)
	}
	c.foundingWaits = !isAllowed
	return isAllowed
}

// areMajorityOfSeeds reports whether a number of founders is more than half of the seeds that
// may have a disk. Founders are counted, not matched with the seeds, as entries may be reached
// as seeds at other addresses than those that they advertise.
func areMajorityOfSeeds(founders int, seeds []string, members []membership.Record) bool {
	withDisk := len(seeds)
	for _, r := range members {
		if !r.State.Gone() && !hasDisk(r) && slices.Contains(seeds, r.Address) {
			withDisk--
		}
	}
	return 2*founders > withDisk
}
