package quorum

import "math"

// Limits of the committed entries by which a learner may lag when it is promoted. Until it has
// them it replies late, and no other voter may be lost.
const (
	maxPromotionLag      = 64
	maxPromotionLagBytes = 256 << 10 // of their data; one entry may be larger
)

// ChangeMember appends a membership change and returns its index and term. Only
// one change may be pending: others are rejected until it is committed.
func (c *Core) ChangeMember(change Change) (index, term uint64, err error) {
	if c.role != Leader || c.leaderState.transfer != "" {
		return 0, 0, ErrNoQuorum
	}
	isPending := c.configurations[len(c.configurations)-1].index > c.commit
	if isPending || c.commit < c.leaderState.termStart {
		return 0, 0, ErrChangePending
	}
	next, err := c.Configuration().With(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == Promote && !c.mayPromote(change.Member.Disk) {
		return 0, 0, ErrNotCaughtUp
	}
	index = c.log.lastIndex() + 1
	c.append(Entry{Index: index, Term: c.hardState.Term, Kind: EntryConfiguration, Data: encodeConfiguration(next)})
	c.updateProgress()
	return index, c.hardState.Term, nil
}

// mayPromote reports whether a learner may become a voter. One that lags may if the voters are of an
// even number: the majority stays as large as it is, so that no other voter is needed for it, and
// with one voter more another one may be lost.
func (c *Core) mayPromote(disk DiskIdentity) bool {
	p := c.leaderState.progress[disk]
	isEven := len(c.Configuration().Voters)%2 == 0
	return c.isCaughtUp(disk) || isEven && p != nil && p.match > 0 && p.match >= c.log.baseIndex && !c.isUnresponsive(disk)
}

// isCaughtUp reports whether a member has synced the committed entries, except for a few.
func (c *Core) isCaughtUp(disk DiskIdentity) bool {
	p := c.leaderState.progress[disk]
	if p == nil || p.state != replicating || p.match < c.leaderState.termStart || p.match+maxPromotionLag < c.commit {
		return false
	}
	return p.match+1 >= c.commit || dataBytes(c.log.slice(p.match+1, c.commit, math.MaxInt)) <= maxPromotionLagBytes
}

// Transfer starts a leadership transfer to another voter. Proposals are rejected
// while it is in progress. It is aborted after the election timeout.
func (c *Core) Transfer(to DiskIdentity) error {
	if c.role != Leader {
		return ErrNoQuorum
	}
	if _, ok := c.Configuration().Voter(to); !ok || to == c.config.Self {
		return ErrChangeInvalid
	}
	c.leaderState.transfer, c.leaderState.transferTicks = to, 0
	c.completeTransfer(to, c.leaderState.progress[to])
	return nil
}

// BestSuccessor returns the voter with the highest match index among those that
// replied within two heartbeat intervals, and false if there is none. Members that
// prefer selects come before the others; prefer may be nil.
func (c *Core) BestSuccessor(prefer func(Member) bool) (DiskIdentity, bool) {
	var best DiskIdentity
	bestPreferred := false
	for _, disk := range c.peerDisks() {
		p := c.leaderState.progress[disk]
		voter, isVoter := c.Configuration().Voter(disk)
		isActive := c.now-p.lastResponse <= uint64(2*c.config.HeartbeatTicks)
		if !isVoter || !isActive {
			continue
		}
		preferred := prefer != nil && prefer(voter)
		isBetter := best == "" || p.match > c.leaderState.progress[best].match
		if (preferred && !bestPreferred) || (preferred == bestPreferred && isBetter) {
			best, bestPreferred = disk, preferred
		}
	}
	return best, best != ""
}

// completeTransfer tells the transfer target to start an election once its log
// matches the leader's up to the last entry.
func (c *Core) completeTransfer(disk DiskIdentity, p *progress) {
	if c.role != Leader || c.leaderState.transfer != disk || p.match < c.log.lastIndex() {
		return
	}
	c.send(Message{Kind: TimeoutNow, To: disk, Term: c.hardState.Term, Silences: c.silences()})
}

func (c *Core) tickTransfer() {
	if c.leaderState.transfer == "" {
		return
	}
	c.leaderState.transferTicks++
	if c.leaderState.transferTicks >= c.config.ElectionTicks {
		c.leaderState.transfer = ""
	}
}
