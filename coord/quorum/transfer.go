package quorum

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	snapshot Snapshot
	from     DiskIdentity
	term     uint64 // the sender's term as leader
}

// hasChunk reports whether m is a chunk of the same snapshot from the same leader.
// Snapshots of different members at the same index may differ in their bytes.
func (i *incomingSnapshot) hasChunk(m Message) bool {
	return i != nil && i.from == m.From && i.term == m.Term && i.snapshot.Index == m.Snapshot.Index
}

// sendSnapshot starts sending the snapshot, or resumes at the offset of the
// member's last reply.
func (c *Core) sendSnapshot(to DiskIdentity, p *progress) {
	if c.snapshot == nil {
		return
	}
	if p.snapshot == nil || p.snapshot.Index <= p.match || p.snapshotOffset == 0 {
		p.snapshot, p.snapshotOffset = c.snapshot, 0
	}
	p.state, p.lastChunkSent, p.arrivedAt = snapshotting, c.now, 0
	c.sendSnapshotChunk(to, p)
}

func (c *Core) sendSnapshotChunk(to DiskIdentity, p *progress) {
	data := p.snapshot.Data
	end := min(p.snapshotOffset+c.config.MaxMessageBytes, len(data))
	chunk := *p.snapshot
	chunk.Data = data[p.snapshotOffset:end]
	p.chunkBytes = len(chunk.Data)
	c.send(Message{
		Kind: InstallSnapshot, To: to, Term: c.hardState.Term, Round: c.leaderState.round,
		Snapshot: &chunk, Offset: uint64(p.snapshotOffset), Total: uint64(len(data)), Sender: c.self(),
	})
}

// stepSnapshotReply handles the acknowledgment of a chunk by sending the next one.
func (c *Core) stepSnapshotReply(m Message) {
	p := c.leaderState.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.lastResponse, p.hasReplied = c.now, true
	isCurrent := p.state == snapshotting && p.snapshot.Index == m.Index
	if !isCurrent || m.Match >= uint64(len(p.snapshot.Data)) || int(m.Match) == p.snapshotOffset {
		return
	}
	if _, isVoter := c.Configuration().Voter(m.From); isVoter {
		c.leaderState.lastProgress = c.now
	}
	p.snapshotOffset, p.lastChunkSent, p.arrivedAt = int(m.Match), c.now, 0
	c.sendSnapshotChunk(m.From, p)
}

// stepSnapshotChunk handles a chunk of the leader's snapshot and restores the
// snapshot once it is complete.
func (c *Core) stepSnapshotChunk(m Message) {
	c.becomeFollower(m.Term, m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	reply := Message{Kind: AppendReply, To: m.From, Term: c.hardState.Term, Index: s.Index, Round: m.Round, Match: s.Index}
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.commit = s.Index
	case c.receiveChunk(m):
		complete := c.incoming.snapshot
		c.incoming = nil
		c.restore(&complete)
	default:
		received := uint64(len(c.incoming.snapshot.Data))
		c.send(Message{Kind: SnapshotReply, To: m.From, Term: c.hardState.Term, Index: s.Index, Match: received})
		return
	}
	c.sendAfterSync(reply)
}

// receiveChunk appends a chunk and reports whether the snapshot is complete.
func (c *Core) receiveChunk(m Message) bool {
	if !c.incoming.hasChunk(m) {
		c.incoming = &incomingSnapshot{snapshot: *m.Snapshot, from: m.From, term: m.Term}
		c.incoming.snapshot.Data = nil
	}
	data := c.incoming.snapshot.Data
	if m.Offset == uint64(len(data)) {
		data = append(data, m.Snapshot.Data...)
		c.incoming.snapshot.Data = data
	}
	return uint64(len(data)) >= m.Total
}

func (c *Core) restore(s *Snapshot) {
	c.snapshot, c.snapshotToInstall = s, s
	c.log.reset(s.Index, s.Term)
	c.configurations = []indexedConfiguration{{s.Index, s.Configuration}}
	c.commit, c.delivered, c.submitted, c.synced = s.Index, s.Index, s.Index, 0
	for i := range c.pendingWrites {
		c.pendingWrites[i].lastIndex = 0
	}
}
