package quorum

import "math"

// Synced reports to the Core that all writes up to sequence are on disk.
func (c *Core) Synced(sequence uint64) {
	for len(c.writes) > 0 && c.writes[0].sequence <= sequence {
		c.synced = max(c.synced, c.writes[0].last)
		c.writes = c.writes[1:]
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Ready returns the work that has become pending since the last call.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.startRound()
		c.sendEntries()
	}
	r := Ready{Messages: c.messages, Reads: c.readsDone, AfterSync: c.afterSync}
	c.messages, c.readsDone, c.afterSync = nil, nil, nil
	c.collectWrites(&r)
	r.Committed = c.log.slice(c.delivered+1, c.commit, math.MaxInt)
	c.delivered += uint64(len(r.Committed))
	return r
}

// collectWrites adds the unsubmitted writes to r and records them as pending.
func (c *Core) collectWrites(r *Ready) {
	if c.hardDirty {
		hard := c.hard
		r.HardState = &hard
	}
	r.Snapshot = c.install
	r.Entries = c.log.slice(c.handed+1, c.log.lastIndex(), math.MaxInt)
	hasWrites := r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
	switch {
	case hasWrites:
	case len(c.writes) == 0:
		r.Messages = append(r.Messages, r.AfterSync...)
		r.AfterSync = nil
		return
	case len(r.AfterSync) == 0:
		return
	}
	c.sequence++
	r.Sequence = c.sequence
	c.handed = c.log.lastIndex()
	c.writes = append(c.writes, write{sequence: c.sequence, last: c.handed, hard: c.hardDirty})
	c.hardDirty, c.install = false, nil
}

// Compact reports to the Core that snapshot is on disk. It drops the entries that
// the snapshot covers, except for the last TailLength.
func (c *Core) Compact(snapshot *Snapshot) {
	if c.snapshot != nil && snapshot.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snapshot
	tail := uint64(c.config.TailLength)
	if snapshot.Index > tail {
		c.log.compact(min(snapshot.Index-tail, c.synced))
	}
	for len(c.members) > 1 && c.members[1].index <= c.commit {
		c.members = c.members[1:]
	}
}
