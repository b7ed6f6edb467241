package quorum

import "github.com/VictoriaMetrics/metrics"

var (
	messagesRefused = metrics.NewCounter(`jacinthplank_quorum_messages_refused_total`)
	logsDiverged    = metrics.NewCounter(`jacinthplank_quorum_logs_diverged_total`)
)

// Step handles a message from another member. Messages for another disk or from
// another quorum are dropped and counted, and so are replies and forced votes from
// an unknown disk.
func (c *Core) Step(m Message) {
	if m.Kind == Hello {
		c.stepHello(m)
		return
	}
	if !c.isAcceptable(m) {
		messagesRefused.Inc()
		c.noteDropped(m)
		return
	}
	c.noteLateVote(m)
	c.measureReply(m)
	c.endInheritedSilence(m.From)
	if !c.enterTerm(m) {
		c.noteRefused(m)
		return
	}
	switch m.Kind {
	case PreVote:
		c.stepPreVote(m)
	case PreVoteReply:
		c.stepPreVoteReply(m)
	case Vote:
		c.stepVote(m)
	case VoteReply:
		c.stepVoteReply(m)
	case Append:
		c.stepAppend(m)
	case AppendReply:
		c.stepAppendReply(m)
	case InstallSnapshot:
		c.stepSnapshotChunk(m)
	case SnapshotReply:
		c.stepSnapshotReply(m)
	case TimeoutNow:
		c.stepTimeoutNow(m)
	}
}

// isAcceptable reports whether the sender, the receiver and the quorum of m are
// valid. A blank disk joins the quorum of the first request addressed to it.
func (c *Core) isAcceptable(m Message) bool {
	isFromLeader := m.Kind == Append || m.Kind == InstallSnapshot
	isRequest := isFromLeader || m.Kind == PreVote || m.Kind == Vote
	if m.To != c.config.Self || m.Cluster == "" || m.From == "" {
		return false
	}
	if c.IsBlank() && isRequest {
		c.hardState.Cluster = m.Cluster
		c.hardStateDirty = true
	}
	if m.Cluster != c.hardState.Cluster {
		return false
	}
	// A leader was elected by a quorum, whose configuration may be newer than the
	// local one. So may be that of a candidate: whether it gets the vote depends on
	// its log, the term and an active leader. A disk that was removed or replaced
	// lacks the entry that did it, which is on a disk of each majority.
	isCandidate := m.Kind == PreVote || (m.Kind == Vote && !m.Force)
	if isFromLeader || isCandidate || len(c.configurations) == 0 {
		return true
	}
	_, isMember := c.Configuration().Member(m.From)
	return isMember
}

// enterTerm compares the term of m with the current one, enters a newer term if
// needed, and reports whether m should be handled.
func (c *Core) enterTerm(m Message) bool {
	isPreVote := m.Kind == PreVote || (m.Kind == PreVoteReply && !m.Reject)
	switch {
	case isPreVote && m.Term > c.hardState.Term:
		return true
	case m.Term > c.hardState.Term:
		if m.Kind == Vote && !m.Force && c.hearsOtherLeader(m.From) {
			return false
		}
		c.becomeFollower(m.Term, "")
		return true
	case m.Term < c.hardState.Term:
		c.rejectStaleTerm(m)
		return false
	default:
		return true
	}
}

// rejectStaleTerm replies to a request of an older term with the current term.
func (c *Core) rejectStaleTerm(m Message) {
	reply := Message{To: m.From, Term: c.hardState.Term, Reject: true, Round: m.Round}
	switch m.Kind {
	case PreVote:
		reply.Kind = PreVoteReply
	case Vote:
		reply.Kind = VoteReply
	case Append, InstallSnapshot:
		// Rounds begin anew with each leader: one of an earlier term confirms none of the current one.
		reply.Kind, reply.Round = AppendReply, 0
	default:
		return
	}
	c.send(reply)
}

func (c *Core) stepHello(m Message) {
	_, isMember := c.Configuration().Member(m.From)
	if isMember || m.From == "" || m.Sender.Disk != m.From || len(c.unknownPeers) >= maxUnknownPeers {
		return
	}
	c.unknownPeers = append(c.unknownPeers, m.Sender)
}

// maxUnknownPeers limits the peers held until the next call of TakeUnknownPeers.
const maxUnknownPeers = 16

// stepAppend handles entries or a heartbeat from the leader.
func (c *Core) stepAppend(m Message) {
	c.becomeFollower(m.Term, m.From)
	reply := Message{Kind: AppendReply, To: m.From, Term: c.hardState.Term, Index: m.Index, Round: m.Round}
	prev, entries := c.skipCommitted(m)
	if prev > c.log.lastIndex() || !c.log.matches(prev, m.LogTerm) && prev > c.commit {
		reply.Reject = true
		reply.Match, reply.LogTerm = c.rejectionHint(m)
		c.send(reply)
		return
	}
	c.appendMissing(entries)
	last := prev + uint64(len(entries))
	if c.matchedTerm != m.Term {
		c.matchedTerm, c.matched = m.Term, 0
	}
	c.matched = max(c.matched, last)
	c.commit = max(c.commit, min(m.Commit, last))
	if len(m.Entries) > 0 {
		reply.Match = last
		c.sendAfterSync(reply)
		return
	}
	// Entries that the same leader sent before, also if its heartbeat refers to an earlier one.
	reply.Match = min(c.matched, c.synced)
	c.send(reply)
}

// skipCommitted returns the part of m after the local commit index. Committed
// entries are known to match the leader's.
func (c *Core) skipCommitted(m Message) (prev uint64, entries []Entry) {
	prev, entries = m.Index, m.Entries
	for prev < c.commit && len(entries) > 0 {
		prev++
		entries = entries[1:]
	}
	return prev, entries
}

// appendMissing appends the entries missing from the log. They replace
// conflicting uncommitted entries.
func (c *Core) appendMissing(entries []Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.lastIndex() {
			c.truncate(e.Index)
		}
		c.append(entries[i:]...)
		return
	}
}

// rejectionHint returns the index and term of the last entry at which this log
// may match the leader's.
func (c *Core) rejectionHint(m Message) (index, term uint64) {
	index = min(m.Index-1, c.log.lastIndex())
	for index > c.commit {
		term, _ = c.log.term(index)
		if term <= m.LogTerm {
			break
		}
		index--
	}
	term, _ = c.log.term(index)
	return index, term
}
