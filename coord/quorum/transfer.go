package quorum

// incoming is a snapshot of which pieces are missing.
type incoming struct {
	snapshot Snapshot
	from     DiskIdentity
	term     uint64 // the sender's term as leader
}

// isFrom reports whether m is a piece of the same snapshot of the same leader:
// two members' snapshots at one index need not have the same bytes.
func (i *incoming) isFrom(m Message) bool {
	return i != nil && i.from == m.From && i.term == m.Term && i.snapshot.Index == m.Snapshot.Index
}

// sendSnapshot begins to send the snapshot, or goes on where a member's last
// answer left off.
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
	piece := *p.sending
	piece.Data = data[p.offset:end]
	c.send(Message{
		Kind: InstallSnapshot, To: to, Term: c.hard.Term, Round: c.leading.round,
		Snapshot: &piece, Offset: uint64(p.offset), Total: uint64(len(data)), Sender: c.self(),
	})
}

// stepSnapshotReply sends the next piece.
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

// stepSnapshot takes a piece of the leader's snapshot, and the snapshot in place
// of missing entries once it is whole.
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
		whole := c.incoming.snapshot
		c.incoming = nil
		c.restore(&whole)
	default:
		received := uint64(len(c.incoming.snapshot.Data))
		c.send(Message{Kind: SnapshotReply, To: m.From, Term: c.hard.Term, Index: s.Index, Match: received})
		return
	}
	c.sendAfterSync(reply)
}

// receive adds a piece and reports whether the snapshot is whole.
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
