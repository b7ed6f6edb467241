package quorum

import "slices"

// ReadResult is the outcome of ReadIndex: the read may be served once the state
// machine has applied Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	Err   error // ErrNoQuorum if the leader stepped down
}

// pendingRead is a read waiting for a majority of the voters to reply to a
// heartbeat round that started after the read arrived.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// ReadIndex requests a linearizable read. The result is returned in Ready.Reads
// with the same id. It fails immediately if this member is not the leader.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNoQuorum
	}
	c.leaderState.pendingReads = append(c.leaderState.pendingReads, pendingRead{id: id, index: c.commit, round: c.leaderState.round + 1})
	c.leaderState.roundRequested = true
	return nil
}

// updateEarlyReads raises the index of reads that arrived before the first entry
// of the leader's term was committed, so that it covers all earlier terms.
func (c *Core) updateEarlyReads() {
	for i := range c.leaderState.pendingReads {
		read := &c.leaderState.pendingReads[i]
		if read.index < c.leaderState.termStart {
			read.index = c.commit
		}
	}
	c.confirmReads()
}

// startRound starts a heartbeat round if pending reads have requested one.
func (c *Core) startRound() {
	if !c.leaderState.roundRequested {
		return
	}
	c.leaderState.roundRequested = false
	c.leaderState.round++
	for _, disk := range c.peerDisks() {
		c.sendHeartbeat(disk, c.leaderState.progress[disk])
	}
	c.confirmReads()
}

// confirmReads completes the reads whose round a majority has confirmed.
func (c *Core) confirmReads() {
	if c.role != Leader || c.commit < c.leaderState.termStart {
		return
	}
	confirmed := c.confirmedRound()
	completed := 0
	for _, read := range c.leaderState.pendingReads {
		if read.round > confirmed {
			break
		}
		c.completedReads = append(c.completedReads, ReadResult{ID: read.id, Index: read.index})
		completed++
	}
	c.leaderState.pendingReads = c.leaderState.pendingReads[completed:]
}

func (c *Core) confirmedRound() uint64 {
	var rounds []uint64
	for _, voter := range c.Configuration().Voters {
		switch p := c.leaderState.progress[voter.Disk]; {
		case voter.Disk == c.config.Self:
			rounds = append(rounds, c.leaderState.round)
		case p != nil:
			rounds = append(rounds, p.round)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-c.Configuration().Quorum()]
}

// failReads fails all pending reads when the leader steps down.
func (c *Core) failReads() {
	for _, read := range c.leaderState.pendingReads {
		c.completedReads = append(c.completedReads, ReadResult{ID: read.id, Err: ErrNoQuorum})
	}
	c.leaderState.pendingReads = nil
}
