package quorum

import "math"

// Synced reports to the Core that all writes up to sequence are on disk.
func (c *Core) Synced(sequence uint64) {
	wasSynced := c.isHardStateSynced()
	c.measureSync(sequence)
	for len(c.pendingWrites) > 0 && c.pendingWrites[0].sequence <= sequence {
		c.synced = max(c.synced, c.pendingWrites[0].lastIndex)
		c.noteSynced(c.pendingWrites[0])
		c.pendingWrites = c.pendingWrites[1:]
	}
	if !wasSynced && c.isHardStateSynced() {
		c.restartElectionTimer()
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
	r := Ready{Messages: c.messages, Reads: c.completedReads, AfterSync: c.afterSync}
	c.messages, c.completedReads, c.afterSync = nil, nil, nil
	c.collectWrites(&r)
	r.Committed = c.log.slice(c.delivered+1, c.commit, math.MaxInt)
	c.delivered += uint64(len(r.Committed))
	return r
}

// collectWrites adds the unsubmitted writes to r and records them as pending.
func (c *Core) collectWrites(r *Ready) {
	if c.hardStateDirty {
		hard := c.hardState
		r.HardState = &hard
	}
	r.Snapshot = c.snapshotToInstall
	r.Entries = c.log.slice(c.submitted+1, c.log.lastIndex(), math.MaxInt)
	hasWrites := r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
	switch {
	case hasWrites:
	case len(c.pendingWrites) == 0:
		r.Messages = append(r.Messages, r.AfterSync...)
		r.AfterSync = nil
		return
	case len(r.AfterSync) == 0:
		return
	}
	c.sequence++
	r.Sequence = c.sequence
	c.submitted = c.log.lastIndex()
	c.pendingWrites = append(c.pendingWrites, pendingWrite{sequence: c.sequence, since: c.now, lastIndex: c.submitted, hasHardState: c.hardStateDirty})
	c.hardStateDirty, c.snapshotToInstall = false, nil
}

// Compact reports to the Core that snapshot is on disk. It drops the entries that
// the snapshot covers, except for the last ones within TailLength and TailBytes.
func (c *Core) Compact(snapshot *Snapshot) {
	if c.snapshot != nil && snapshot.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snapshot
	c.log.compactTail(snapshot.Index, c.synced, tailLimits{entries: c.config.TailLength, bytes: c.config.TailBytes})
	for len(c.configurations) > 1 && c.configurations[1].index <= c.commit {
		c.configurations = c.configurations[1:]
	}
}
