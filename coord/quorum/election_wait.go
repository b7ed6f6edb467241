package quorum

import "slices"

const (
	// maxReplyFactor limits the estimate of the time to a majority's replies, as a multiple
	// of the election timeout. Replies that take longer are not measured.
	maxReplyFactor = 4
	// replyAllowanceFactor is the multiple of the estimate by which timeouts are extended: a
	// vote also waits for the voter's sync, which the reply to a pre-vote does not.
	replyAllowanceFactor = 2
	// estimateDecayFactor is the time, as a multiple of the election timeout, after which an
	// estimate is halved: a disk that stalled once must not delay the elections after it.
	estimateDecayFactor = 4
	// voteRepeatHeartbeats is the time, in heartbeat intervals, after which a request for votes is
	// repeated to the voters that have not replied.
	voteRepeatHeartbeats = 2
	// maxYields limits how often a member gives way to pre-candidates without hearing of a
	// leader, so that a member that receives no replies does not keep the others from being elected.
	maxYields = 8
)

// voteRequest is a request for votes or pre-votes, sent to all other voters.
type voteRequest struct {
	number  uint64
	sent    uint64 // tick
	replied []DiskIdentity
}

// receivedRequest identifies a request for a vote of another member.
type receivedRequest struct {
	from   DiskIdentity
	number uint64 // 0 from earlier versions, which don't number them
}

// startRequest returns the number of a new request for votes, which the replies repeat.
func (c *Core) startRequest() uint64 {
	c.lastRequest++
	c.requests = append(c.requests, voteRequest{number: c.lastRequest, sent: c.now})
	return c.lastRequest
}

// measureReply updates the estimate once a majority has replied to a request, whatever the
// replies say and also after its timeout. Voters that don't reply have no influence, so an
// estimate never grows while there is no majority. Replies of older versions have no number.
func (c *Core) measureReply(m Message) {
	if m.Kind != PreVoteReply && m.Kind != VoteReply {
		return
	}
	i := slices.IndexFunc(c.requests, func(r voteRequest) bool { return r.number == m.Round })
	if _, isVoter := c.Configuration().Voter(m.From); i < 0 || !isVoter || slices.Contains(c.requests[i].replied, m.From) {
		return
	}
	r := &c.requests[i]
	r.replied = append(r.replied, m.From)
	c.observer.replies = max(c.observer.replies, int(c.now-r.sent))
	if len(r.replied)+1 < c.Configuration().Quorum() {
		return
	}
	c.replyTicks = max(int(c.now-r.sent), c.replyTicks/2)
	c.requests = slices.Delete(c.requests, i, i+1)
}

// measureSync updates the estimate as all writes up to sequence are synced.
func (c *Core) measureSync(sequence uint64) {
	if len(c.pendingWrites) == 0 || c.pendingWrites[0].sequence > sequence {
		return
	}
	ticks := min(int(c.now-c.pendingWrites[0].since), maxReplyFactor*c.config.ElectionTicks)
	c.syncTicks = max(ticks, c.syncTicks/2)
}

// tickEstimates forgets requests that are too old to be measured, and halves estimates: with each
// heartbeat while there is a leader, as links and disks that were slow may be fast again by the
// next election, and more slowly while there is none.
func (c *Core) tickEstimates() {
	limit := uint64(maxReplyFactor * c.config.ElectionTicks)
	for len(c.requests) > 0 && c.now-c.requests[0].sent > limit {
		c.requests = c.requests[1:]
	}
	interval := estimateDecayFactor * c.config.ElectionTicks
	if c.hasActiveLeader() {
		interval = c.config.HeartbeatTicks
	}
	if c.now%uint64(interval) == 0 {
		c.replyTicks /= 2
		c.syncTicks /= 2
	}
}

// replyAllowance returns by how many ticks a wait for replies of a majority is extended. The
// disks of the voters are taken to be as slow as the own one until they have replied.
func (c *Core) replyAllowance() int {
	return replyAllowanceFactor * max(c.replyTicks, c.syncTicks)
}

// resetRetryTimeout restarts the election timer for an attempt. The jitter grows with the
// time in which other voters learn of an attempt.
func (c *Core) resetRetryTimeout() {
	c.elapsed, c.replyWait, c.hasElection = 0, 0, c.role == Candidate
	c.timeout = c.config.ElectionTicks/retryTimeoutDivisor + c.rand.IntN(c.config.JitterTicks+c.replyTicks)
	c.extendTimeout()
}

func (c *Core) extendTimeout() {
	c.replyWait = c.replyAllowance()
	c.timeout += c.replyWait
}

// endWaitIfLost takes back the extension of the timeout once the missing votes can't win an
// election.
func (c *Core) endWaitIfLost(votes map[DiskIdentity]bool) {
	if len(c.Configuration().Voters)-c.countVotes(votes, false) < c.Configuration().Quorum() {
		c.endReplyWait()
	}
}

// endReplyWait takes back the extension of the timeout.
func (c *Core) endReplyWait() {
	c.timeout -= c.replyWait
	c.replyWait = 0
}

// awaitElection restarts the election timer of a voter that has granted its vote.
func (c *Core) awaitElection() {
	c.resetTimeout()
	c.extendTimeout()
	c.hasElection = true
}

// hasOpenElection reports whether the election of the current term may still be won, as far as
// the estimates tell. A pre-vote for the next term is rejected until then: its election would
// depose the leader before its first message is here. On fast links and disks that is no time.
func (c *Core) hasOpenElection() bool { return c.hasElection && c.elapsed < c.replyWait }

// restartElectionTimer is called when the hard state has been synced. Only then the vote of
// this member is sent, or its requests as a candidate.
func (c *Core) restartElectionTimer() {
	switch n := len(c.requests); {
	case !c.hasElection:
	case c.role == Follower:
		c.awaitElection()
	case n > 0:
		c.resetRetryTimeout()
		c.requests[n-1].sent = c.now
	}
}

// giveWay is called when a pre-vote has been granted. It lets the sender sync its term and
// request votes before this member starts an election of its own. A pre-candidacy is withdrawn
// if the sender has priority: a newer log, or an equal one and the lower identity. Otherwise
// the candidates whose requests cross split the votes, on slow links and disks in most elections.
func (c *Core) giveWay(m Message) {
	isEqual := m.Index == c.log.lastIndex() && m.LogTerm == c.log.lastTerm()
	hasPriority := !isEqual || m.From < c.config.Self
	switch {
	case c.yields >= maxYields:
	case c.role == Follower && c.elapsed+c.replyAllowance() > c.timeout:
		c.yields++
		c.timeout = c.elapsed + c.replyAllowance()
	case c.role == PreCandidate && hasPriority:
		c.yields++
		c.role, c.preVotes, c.withdrawnRequest = Follower, nil, c.lastRequest
		c.resetRetryTimeout()
	}
}
