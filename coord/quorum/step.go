package quorum

import "github.com/VictoriaMetrics/metrics"

var (
	messagesRefused = metrics.NewCounter(`jacinthplank_quorum_messages_refused_total`)
	logsDiverged    = metrics.NewCounter(`jacinthplank_quorum_logs_diverged_total`)
)

// Step takes a message of another member. Messages for another disk, of another
// quorum or from an unknown disk are dropped and counted.
func (c *Core) Step(m Message) {
	if m.Kind == Hello {
		c.stepHello(m)
		return
	}
	if !c.isAcceptable(m) {
		messagesRefused.Inc()
		return
	}
	if !c.enterTerm(m) {
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
		c.stepSnapshot(m)
	case SnapshotReply:
		c.stepSnapshotReply(m)
	case TimeoutNow:
		c.stepTimeoutNow()
	}
}

// isAcceptable checks where m comes from and goes to. A blank disk joins the
// quorum of the first message addressed to it.
func (c *Core) isAcceptable(m Message) bool {
	isFromLeader := m.Kind == Append || m.Kind == InstallSnapshot
	isRequest := isFromLeader || m.Kind == PreVote || m.Kind == Vote
	if m.To != c.config.Self || m.Cluster == "" || m.From == "" {
		return false
	}
	if c.IsBlank() && isRequest {
		c.hard.Cluster = m.Cluster
		c.hardDirty = true
	}
	if m.Cluster != c.hard.Cluster {
		return false
	}
	// A leader was elected by a quorum, whose configuration may be ahead of the
	// one known here.
	if isFromLeader || len(c.members) == 0 {
		return true
	}
	_, known := c.Configuration().Member(m.From)
	return known
}

// enterTerm compares the term of m with the current one, and reports whether m
// is to be handled.
func (c *Core) enterTerm(m Message) bool {
	isPreVote := m.Kind == PreVote || (m.Kind == PreVoteReply && !m.Reject)
	switch {
	case isPreVote && m.Term > c.hard.Term:
		return true
	case m.Term > c.hard.Term:
		if m.Kind == Vote && !m.Force && c.leaderIsAlive() {
			return false
		}
		c.becomeFollower(m.Term, "")
		return true
	case m.Term < c.hard.Term:
		c.answerOldTerm(m)
		return false
	default:
		return true
	}
}

// answerOldTerm tells the sender of a request that there is a newer term.
func (c *Core) answerOldTerm(m Message) {
	reply := Message{To: m.From, Term: c.hard.Term, Reject: true}
	switch m.Kind {
	case PreVote:
		reply.Kind = PreVoteReply
	case Vote:
		reply.Kind = VoteReply
	case Append, InstallSnapshot:
		reply.Kind = AppendReply
	default:
		return
	}
	c.send(reply)
}

func (c *Core) stepHello(m Message) {
	_, known := c.Configuration().Member(m.From)
	if known || m.From == "" || m.Sender.Disk != m.From || len(c.strangers) >= maxStrangers {
		return
	}
	c.strangers = append(c.strangers, m.Sender)
}

// maxStrangers bounds the strangers that wait for Strangers.
const maxStrangers = 16

// stepAppend takes entries or a heartbeat of the leader.
func (c *Core) stepAppend(m Message) {
	c.becomeFollower(m.Term, m.From)
	reply := Message{Kind: AppendReply, To: m.From, Term: c.hard.Term, Index: m.Index, Round: m.Round}
	prev, entries := c.skipCommitted(m)
	if prev > c.log.lastIndex() || !c.log.matches(prev, m.LogTerm) && prev > c.commit {
		reply.Reject = true
		reply.Match, reply.LogTerm = c.hint(m)
		c.send(reply)
		return
	}
	c.appendMissing(entries)
	last := prev + uint64(len(entries))
	c.commit = max(c.commit, min(m.Commit, last))
	if len(m.Entries) > 0 {
		reply.Match = last
		c.sendAfterSync(reply)
		return
	}
	reply.Match = min(prev, c.synced)
	c.send(reply)
}

// skipCommitted returns the part of m that is beyond what is committed here,
// which is known to be the leader's too.
func (c *Core) skipCommitted(m Message) (prev uint64, entries []Entry) {
	prev, entries = m.Index, m.Entries
	for prev < c.commit && len(entries) > 0 {
		prev++
		entries = entries[1:]
	}
	return prev, entries
}

// appendMissing appends what the log doesn't have, in place of entries of
// earlier terms that were never committed.
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

// hint returns the last index and its term at which this log may match that of
// the leader.
func (c *Core) hint(m Message) (index, term uint64) {
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
