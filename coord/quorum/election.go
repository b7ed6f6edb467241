package quorum

// retryTimeoutDivisor divides the election timeout to give the time, before
// jitter, that a candidate waits before its next election.
const retryDivisor = 4

// becomeFollower enters term as a follower. The leader may be empty if unknown.
func (c *Core) becomeFollower(term uint64, leader DiskIdentity) {
	if term > c.hard.Term {
		c.hard.Term, c.hard.Vote = term, ""
		c.hardDirty = true
	}
	if c.role == Leader {
		c.failReads()
	}
	if c.role == Leader || leader != "" {
		c.resetTimeout()
	}
	c.leading = leadership{}
	c.role, c.leader, c.votes = Follower, leader, nil
}

// preCampaign asks the voters whether an election could be won, without
// incrementing the term.
func (c *Core) preCampaign() {
	c.role, c.leader = PreCandidate, ""
	c.retryTimeout()
	c.votes = map[DiskIdentity]bool{c.config.Self: true}
	if c.hasWon() {
		c.campaign(false)
		return
	}
	c.askVoters(Message{Kind: PreVote, Term: c.hard.Term + 1})
}

// campaign increments the term and starts an election. With force, voters
// consider the request even if they have an active leader.
func (c *Core) campaign(force bool) {
	c.role, c.leader = Candidate, ""
	c.hard.Term++
	c.hard.Vote = c.config.Self
	c.hardDirty = true
	c.retryTimeout()
	c.votes = map[DiskIdentity]bool{c.config.Self: true}
	if c.hasWon() {
		c.becomeLeader()
		return
	}
	c.askVoters(Message{Kind: Vote, Term: c.hard.Term, Force: force})
}

func (c *Core) retryTimeout() {
	c.elapsed = 0
	c.timeout = c.config.ElectionTicks/retryDivisor + c.rand.IntN(c.config.JitterTicks)
}

func (c *Core) askVoters(m Message) {
	m.Index, m.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	m.Sender = c.self()
	for _, voter := range c.Configuration().Voters {
		if voter.Disk != c.config.Self {
			m.To = voter.Disk
			c.send(m)
		}
	}
}

func (c *Core) hasWon() bool { return c.granted(true) >= c.Configuration().Quorum() }

// countVotes returns the number of voters whose reply equals granted.
func (c *Core) granted(granted bool) int {
	count := 0
	for _, voter := range c.Configuration().Voters {
		if vote, ok := c.votes[voter.Disk]; ok && vote == granted {
			count++
		}
	}
	return count
}

// hasActiveLeader reports whether this member leads or has received a message
// from the leader within the election timeout. If so, it rejects pre-votes and
// unforced votes.
func (c *Core) leaderIsAlive() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.elapsed < c.config.ElectionTicks
}

func (c *Core) stepPreVote(m Message) {
	granted := m.Term > c.hard.Term && !c.leaderIsAlive() && c.log.isUpToDate(m.Index, m.LogTerm)
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = c.hard.Term
	}
	c.send(reply)
}

func (c *Core) stepPreVoteReply(m Message) {
	if c.role != PreCandidate {
		return
	}
	isAnswer := m.Reject || m.Term == c.hard.Term+1
	if !isAnswer {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.hasWon() {
		c.campaign(false)
	}
}

func (c *Core) stepVote(m Message) {
	canVote := c.hard.Vote == m.From || (c.hard.Vote == "" && c.leader == "")
	granted := m.Term == c.hard.Term && canVote && c.log.isUpToDate(m.Index, m.LogTerm)
	if granted && c.hard.Vote != m.From {
		c.hard.Vote = m.From
		c.hardDirty = true
	}
	if granted {
		c.resetTimeout()
	}
	c.sendAfterSync(Message{Kind: VoteReply, To: m.From, Term: c.hard.Term, Reject: !granted})
}

func (c *Core) stepVoteReply(m Message) {
	if c.role != Candidate || m.Term != c.hard.Term {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.hasWon() {
		c.becomeLeader()
	}
}

func (c *Core) stepTimeoutNow() {
	if c.isVoter() && c.role != Leader {
		c.campaign(true)
	}
}

// becomeLeader becomes leader of the current term and appends an empty entry:
// entries of earlier terms are committed together with it.
func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.config.Self
	c.elapsed = 0
	c.leading = leadership{
		termStart: c.log.lastIndex() + 1,
		progress:  map[DiskIdentity]*progress{},
	}
	c.append(Entry{Index: c.log.lastIndex() + 1, Term: c.hard.Term, Kind: EntryEmpty})
	c.trackMembers()
	c.advanceCommit()
}
