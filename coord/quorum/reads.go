package quorum

import "slices"

// ReadResult tells that a read may be served once the machine has applied Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	Err   error // ErrNoQuorum when the leader lost its office
}

// pendingRead waits until a majority of the voters has answered a heartbeat
// round that began after the read came.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// ReadIndex asks for a linearizable read. The answer comes in Ready.Reads with
// the same id. It fails at once when this is not the leader.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNoQuorum
	}
	c.leading.reads = append(c.leading.reads, pendingRead{id: id, index: c.commit, round: c.leading.round + 1})
	c.leading.wantRound = true
	return nil
}

// acceptEarlyReads gives the reads that came before the leader's first own
// entry was committed an index that holds all earlier terms.
func (c *Core) acceptEarlyReads() {
	for i := range c.leading.reads {
		read := &c.leading.reads[i]
		if read.index < c.leading.termStart {
			read.index = c.commit
		}
	}
	c.confirmReads()
}

// startRound begins a heartbeat round for the reads that wait for one.
func (c *Core) startRound() {
	if !c.leading.wantRound {
		return
	}
	c.leading.wantRound = false
	c.leading.round++
	for _, disk := range c.others() {
		c.sendHeartbeat(disk, c.leading.progress[disk])
	}
	c.confirmReads()
}

// confirmReads hands out the reads whose round a majority has answered.
func (c *Core) confirmReads() {
	if c.role != Leader || c.commit < c.leading.termStart {
		return
	}
	confirmed := c.confirmedRound()
	done := 0
	for _, read := range c.leading.reads {
		if read.round > confirmed {
			break
		}
		c.readsDone = append(c.readsDone, ReadResult{ID: read.id, Index: read.index})
		done++
	}
	c.leading.reads = c.leading.reads[done:]
}

func (c *Core) confirmedRound() uint64 {
	var rounds []uint64
	for _, voter := range c.Configuration().Voters {
		switch p := c.leading.progress[voter.Disk]; {
		case voter.Disk == c.config.Self:
			rounds = append(rounds, c.leading.round)
		case p != nil:
			rounds = append(rounds, p.round)
		default:
			rounds = append(rounds, 0)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-c.Configuration().Quorum()]
}

// failReads answers the reads of a leader that lost its office.
func (c *Core) failReads() {
	for _, read := range c.leading.reads {
		c.readsDone = append(c.readsDone, ReadResult{ID: read.id, Err: ErrNoQuorum})
	}
	c.leading.reads = nil
}
