package quorum

import "github.com/VictoriaMetrics/metrics"

// electionAttempts counts the elections that this process has started; those won are
// counted as jacinthplank_quorum_elections_won_total.
var (
	electionAttempts = metrics.NewCounter("jacinthplank_quorum_elections_started_total")
	votesLate        = metrics.NewCounter("jacinthplank_quorum_votes_late_total")
)

// retryTimeoutDivisor divides the election timeout to give the time, before
// jitter, that a candidate waits before its next election.
const retryTimeoutDivisor = 4

// becomeFollower enters term as a follower. The leader may be empty if unknown.
func (c *Core) becomeFollower(term uint64, leader DiskIdentity) {
	if term > c.hardState.Term {
		c.hardState.Term, c.hardState.Vote = term, ""
		c.hardStateDirty = true
		c.endReplyWait() // the attempt that it was for has ended
	}
	if c.role == Leader {
		c.failReads()
	}
	if c.role == Leader || leader != "" {
		c.resetTimeout()
		c.leaderHeard, c.attempts, c.yields = c.now, 0, 0
		c.observer.reset()
		c.inherited = inheritedSilences{}
	}
	c.leaderState = leaderState{}
	c.role, c.leader, c.votes, c.preVotes, c.hasElection = Follower, leader, nil, nil, false
}

// preCampaign asks the voters whether an election could be won, without
// incrementing the term. Votes of the current term that are still on their way count
// meanwhile.
func (c *Core) preCampaign() {
	c.role, c.leader = PreCandidate, ""
	c.attempts++
	electionAttempts.Inc()
	c.resetRetryTimeout()
	c.preVotes = map[DiskIdentity]bool{c.config.Self: true}
	if c.hasWon(c.preVotes) {
		c.campaign(false)
		return
	}
	c.requestVotes(Message{Kind: PreVote, Term: c.hardState.Term + 1})
}

// campaign increments the term and starts an election. With force, voters
// consider the request even if they have an active leader.
func (c *Core) campaign(force bool) {
	c.role, c.leader = Candidate, ""
	c.hardState.Term++
	c.hardState.Vote = c.config.Self
	c.hardStateDirty = true
	c.resetRetryTimeout()
	c.preVotes, c.votes = nil, map[DiskIdentity]bool{c.config.Self: true}
	if c.hasWon(c.votes) {
		c.becomeLeader()
		return
	}
	c.requestVotes(Message{Kind: Vote, Term: c.hardState.Term, Force: force})
}

func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	m.Sender = c.self()
	m.Round = c.startRequest()
	c.lastVoteRequest = m
	c.sendVoteRequest(func(DiskIdentity) bool { return true })
}

// sendVoteRequest sends the last request for votes to the voters that include selects.
func (c *Core) sendVoteRequest(include func(DiskIdentity) bool) {
	c.voteRequestSent = c.now
	for _, voter := range c.Configuration().Voters {
		if voter.Disk != c.config.Self && include(voter.Disk) {
			m := c.lastVoteRequest
			m.To = voter.Disk
			c.send(m)
		}
	}
}

// repeatVoteRequest sends the request of the current attempt again to the voters that have not
// replied. An attempt may wait for seconds; a message may be lost meanwhile.
func (c *Core) repeatVoteRequest() {
	votes := c.votes
	switch c.role {
	case PreCandidate:
		votes = c.preVotes
	case Candidate:
	default:
		return
	}
	if c.now-c.voteRequestSent < uint64(voteRepeatHeartbeats*c.config.HeartbeatTicks) || !c.isHardStateSynced() {
		return
	}
	c.sendVoteRequest(func(voter DiskIdentity) bool { _, replied := votes[voter]; return !replied })
}

func (c *Core) hasWon(votes map[DiskIdentity]bool) bool {
	return c.countVotes(votes, true) >= c.Configuration().Quorum()
}

// countVotes returns the number of voters whose reply equals granted.
func (c *Core) countVotes(votes map[DiskIdentity]bool, granted bool) int {
	count := 0
	for _, voter := range c.Configuration().Voters {
		if vote, ok := votes[voter.Disk]; ok && vote == granted {
			count++
		}
	}
	return count
}

// hasActiveLeader reports whether this member leads or has received a message
// from the leader within the election timeout. If so, it rejects pre-votes and
// unforced votes.
func (c *Core) hasActiveLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.elapsed < c.config.ElectionTicks
}

// hearsOtherLeader reports whether a leader other than the candidate is active. A leader that
// asks for votes has stepped down. This member may not have noticed: its clock stands still
// while its process doesn't run.
func (c *Core) hearsOtherLeader(candidate DiskIdentity) bool {
	return c.hasActiveLeader() && c.leader != candidate
}

func (c *Core) stepPreVote(m Message) {
	request := receivedRequest{m.From, m.Round}
	isRepeated := m.Round != 0 && request == c.lastPreVote
	if isRepeated && !c.isHardStateSynced() {
		return // the reply to the first one waits for the sync
	}
	c.lastPreVote = request
	granted := m.Term > c.hardState.Term && !c.hearsOtherLeader(m.From) && !c.hasOpenElection() && c.log.isUpToDate(m.Index, m.LogTerm)
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted, Round: m.Round}
	if !granted {
		reply.Term = c.hardState.Term
		c.noteRefused(m)
	}
	c.send(reply)
	if granted && !isRepeated {
		c.giveWay(m)
	}
}

func (c *Core) stepPreVoteReply(m Message) {
	if c.role != PreCandidate {
		return
	}
	isAnswer := m.Reject || m.Term == c.hardState.Term+1
	isWithdrawn := m.Round != 0 && m.Round <= c.withdrawnRequest
	if !isAnswer || isWithdrawn {
		return
	}
	c.preVotes[m.From] = !m.Reject
	if c.hasWon(c.preVotes) {
		c.campaign(false)
		return
	}
	c.endWaitIfLost(c.preVotes)
}

func (c *Core) stepVote(m Message) {
	reply := Message{Kind: VoteReply, To: m.From, Term: c.hardState.Term, Round: m.Round}
	if c.hardState.Vote == m.From && m.Term == c.hardState.Term {
		// A repeated request doesn't restart the timer. While the vote isn't synced, the reply to
		// the first one waits for that.
		if c.isHardStateSynced() {
			c.send(reply)
		}
		return
	}
	canVote := c.hardState.Vote == "" && c.leader == ""
	granted := m.Term == c.hardState.Term && canVote && c.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		c.hardState.Vote = m.From
		c.hardStateDirty = true
		c.awaitElection()
	} else {
		c.noteRefused(m)
	}
	reply.Reject = !granted
	c.sendAfterSync(reply)
}

// stepVoteReply counts a vote of the current term, in which this member has voted for
// itself. It is valid also after the timeout of the election, when this member asks for
// pre-votes again.
func (c *Core) stepVoteReply(m Message) {
	if c.votes == nil || c.role == Leader || m.Term != c.hardState.Term {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.hasWon(c.votes) {
		c.becomeLeader()
		return
	}
	if c.role == Candidate {
		c.endWaitIfLost(c.votes)
	}
}

func (c *Core) stepTimeoutNow(m Message) {
	if c.isVoter() && c.role != Leader {
		if c.leader == m.From {
			c.receiveSilences(m.Silences)
		}
		c.campaign(true)
	}
}

// becomeLeader becomes leader of the current term and appends an empty entry:
// entries of earlier terms are committed together with it.
func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.config.Self
	c.elapsed, c.hasElection = 0, false
	c.votes, c.preVotes = nil, nil
	c.leaderState = leaderState{
		firstReplyBy: c.now + uint64(c.config.ElectionTicks+c.replyAllowance()),
		termStart:    c.log.lastIndex() + 1,
		lastProgress: c.now,
		progress:     map[DiskIdentity]*progress{},
	}
	lastTerm := c.log.lastTerm()
	c.append(Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: EntryEmpty})
	c.updateProgress()
	c.inheritSilences(lastTerm)
	c.advanceCommit()
}
