package quorum

// incomingSnapshot is a partially received snapshot.
type incoming struct {
	snapshot Snapshot
	from     DiskIdentity
	term     uint64 // the sender's term as leader
}

// hasChunk reports whether m is a chunk of the same snapshot from the same leader.
// Snapshots of different members at the same index may differ in their bytes.
func (i *incoming) isFrom(m Message) bool {
	return i != nil && i.from == m.From && i.term == m.Term && i.snapshot.Index == m.Snapshot.Index
}

// sendSnapshot starts sending the snapshot, or resumes at the offset of the
// member's last reply.
func (c *Core) sendSnapshot(to DiskIdentity, p *progress) {
	if c.snapshot == nil {
		return
	}
	if p.sending == nil || p.sending.Index <= p.match {
		p.sending, p.offset = c.snapshot, 0
	}
	p.state, p.since = snapshotting, c.now
	c.sendPiece(to, p)
}

func (c *Core) sendPiece(to DiskIdentity, p *progress) {
	data := p.sending.Data
	end := min(p.offset+c.config.MaxBytes, len(data))
	chunk := *p.sending
	chunk.Data = data[p.offset:end]
	c.send(Message{
		Kind: InstallSnapshot, To: to, Term: c.hard.Term, Round: c.leading.round,
		Snapshot: &chunk, Offset: uint64(p.offset), Total: uint64(len(data)), Sender: c.self(),
	})
}

// stepSnapshotReply handles the acknowledgment of a chunk by sending the next one.
func (c *Core) stepSnapshotReply(m Message) {
	p := c.leading.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.heard = c.now
	isCurrent := p.state == snapshotting && p.sending.Index == m.Index
	if !isCurrent || m.Match >= uint64(len(p.sending.Data)) || int(m.Match) == p.offset {
		return
	}
	p.offset, p.since = int(m.Match), c.now
	c.sendPiece(m.From, p)
}

// stepSnapshotChunk handles a chunk of the leader's snapshot and restores the
// snapshot once it is complete.
func (c *Core) stepSnapshot(m Message) {
	c.becomeFollower(m.Term, m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	reply := Message{Kind: AppendReply, To: m.From, Term: c.hard.Term, Index: s.Index, Round: m.Round, Match: s.Index}
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.commit = s.Index
	case c.receive(m):
		complete := c.incoming.snapshot
		c.incoming = nil
		c.restore(&complete)
	default:
		received := uint64(len(c.incoming.snapshot.Data))
		c.send(Message{Kind: SnapshotReply, To: m.From, Term: c.hard.Term, Index: s.Index, Match: received})
		return
	}
	c.sendAfterSync(reply)
}

// receiveChunk appends a chunk and reports whether the snapshot is complete.
func (c *Core) receive(m Message) bool {
	if !c.incoming.isFrom(m) {
		c.incoming = &incoming{snapshot: *m.Snapshot, from: m.From, term: m.Term}
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
	c.snapshot, c.install = s, s
	c.log.reset(s.Index, s.Term)
	c.members = []configurationAt{{s.Index, s.Configuration}}
	c.commit, c.delivered, c.handed, c.synced = s.Index, s.Index, s.Index, 0
	for i := range c.writes {
		c.writes[i].last = 0
	}
}
