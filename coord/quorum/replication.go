package quorum

import "slices"

// leaderState is the volatile state of a leader.
type leaderState struct {
	firstReplyBy   uint64 // tick until which a new leader waits for replies
	termStart      uint64 // index of the first entry of the leader's term
	progress       map[DiskIdentity]*progress
	round          uint64 // last heartbeat round started, for all heartbeats or for reads
	roundRequested bool   // a read is waiting for the next round
	heartbeatTicks int    // ticks since the last heartbeat
	pendingReads   []pendingRead

	lastProgress uint64 // tick at which entries came closer to being committed, or none waited for that

	transfer      DiskIdentity // target of the leadership transfer; empty if none
	transferTicks int          // ticks since the transfer was requested
}

type progressState uint8

const (
	probing      progressState = iota // searching for the matching index
	replicating                       // sending entries, up to the flow control limits without replies
	snapshotting                      // sending a snapshot
)

// progress is the leader's view of another member's log.
type progress struct {
	state        progressState
	match        uint64 // last entry known to be synced on the member
	next         uint64 // index of the next entry to send
	paused       bool   // a probe is awaiting its reply
	lastResponse uint64 // tick of the last reply
	hasReplied   bool   // to this leader
	round        uint64 // last heartbeat round confirmed by the member

	replyTicks    int    // estimate of the time of its replies, 0 if unknown
	measuredRound uint64 // round whose confirmation is measured
	measuredSince uint64 // tick at which it started

	silentBefore uint64 // ticks of silence to the leaders that handed over to this one in turn
	firstReplyBy uint64 // tick until which its first reply to this leader is awaited nevertheless

	inFlight      []sentEntries // messages with entries not acknowledged yet, oldest first; empty unless replicating
	inFlightBytes int           // bytes of their entries
	lostAt        uint64        // tick at which the transport reported a loss, 0 without one since the last probe
	arrivedAt     uint64        // tick at which it reported that all has arrived, 0 while something is on its way

	snapshot       *Snapshot // snapshot being sent; nil if none
	snapshotOffset int       // bytes of the snapshot received by the member
	lastChunkSent  uint64    // tick at which the last chunk was sent
	chunkBytes     int       // of the last chunk
}

// sentEntries are the entries of one message.
type sentEntries struct {
	first, last uint64
	bytes       int
	sent        uint64 // tick
}

// Propose appends commands to the leader's log and returns the index of the
// first one and the term.
func (c *Core) Propose(commands ...[]byte) (first, term uint64, err error) {
	if c.role != Leader || c.leaderState.transfer != "" {
		return 0, 0, ErrNoQuorum
	}
	first = c.log.lastIndex() + 1
	for _, command := range commands {
		c.append(Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: EntryCommand, Data: command})
	}
	return first, c.hardState.Term, nil
}

// updateProgress adds progress for new members and deletes it for removed ones.
func (c *Core) updateProgress() {
	configuration := c.Configuration()
	for _, m := range configuration.Members() {
		if c.leaderState.progress[m.Disk] == nil {
			c.leaderState.progress[m.Disk] = &progress{next: c.log.lastIndex(), lastResponse: c.now}
		}
	}
	for disk := range c.leaderState.progress {
		if _, ok := configuration.Member(disk); !ok {
			delete(c.leaderState.progress, disk)
		}
	}
}

// peerDisks returns the disks that the leader replicates to, in sorted order.
func (c *Core) peerDisks() []DiskIdentity {
	var disks []DiskIdentity
	for disk := range c.leaderState.progress {
		if disk != c.config.Self {
			disks = append(disks, disk)
		}
	}
	slices.Sort(disks)
	return disks
}

func (c *Core) tickLeader() {
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.isStalled() {
		c.becomeFollower(c.hardState.Term, "")
		c.timeout += stalledWaitFactor * c.config.ElectionTicks
		return
	}
	c.tickTransfer()
	c.leaderState.heartbeatTicks++
	if c.leaderState.heartbeatTicks >= c.config.HeartbeatTicks {
		c.leaderState.heartbeatTicks = 0
		c.broadcastHeartbeat()
	}
}

// hasActiveQuorum reports whether a majority of the voters has replied within the
// election timeout, or may still be about to reply to a new leader.
func (c *Core) hasActiveQuorum() bool {
	if c.now <= c.leaderState.firstReplyBy {
		return true
	}
	count := 0
	for _, voter := range c.Configuration().Voters {
		p := c.leaderState.progress[voter.Disk]
		isActive := p != nil && c.now-p.lastResponse <= uint64(c.config.ElectionTicks)
		if voter.Disk == c.config.Self || isActive {
			count++
		}
	}
	return count >= c.Configuration().Quorum()
}

func (c *Core) broadcastHeartbeat() {
	c.leaderState.round++
	for _, disk := range c.peerDisks() {
		p := c.leaderState.progress[disk]
		p.paused = false
		c.measureRound(p)
		_, hasPrevious := c.log.term(p.next - 1)
		needsSnapshot := p.state == replicating && !hasPrevious
		if needsSnapshot || c.hasLost(p) {
			p.probe()
		}
		c.sendHeartbeat(disk, p)
	}
}

// sendHeartbeat sends an Append without entries. It refers to the entry before those on their way:
// the transport may deliver it before them. The reply reveals whether the member has synced
// that entry, should the reply to a message with entries have been lost.
func (c *Core) sendHeartbeat(to DiskIdentity, p *progress) {
	prev := p.next - 1
	if len(p.inFlight) > 0 {
		prev = p.inFlight[0].first - 1
	}
	term, ok := c.log.term(prev)
	if !ok || p.state == snapshotting {
		prev, term = 0, 0
	}
	c.sendAppend(to, p, Message{Index: prev, LogTerm: term})
}

func (c *Core) sendAppend(to DiskIdentity, p *progress, m Message) {
	m.Kind, m.To, m.Term = Append, to, c.hardState.Term
	m.Commit, m.Round = c.commit, c.leaderState.round
	if p.state != replicating {
		m.Sender = c.self()
	}
	c.send(m)
}

// sendEntries sends missing entries to each member, within the flow control
// limits.
func (c *Core) sendEntries() {
	for _, disk := range c.peerDisks() {
		c.sendEntriesTo(disk, c.leaderState.progress[disk])
	}
}

func (c *Core) sendEntriesTo(to DiskIdentity, p *progress) {
	for p.next <= c.log.lastIndex() && c.canSend(p) {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if !ok {
			c.sendSnapshot(to, p)
			return
		}
		if p.state == probing {
			p.paused = true
			c.sendAppend(to, p, Message{Index: prev, LogTerm: term, Entries: c.probeEntries(p)})
			return
		}
		entries := c.log.slice(p.next, c.log.lastIndex(), c.config.MaxMessageBytes)
		c.sendAppend(to, p, Message{Index: prev, LogTerm: term, Entries: entries})
		p.next += uint64(len(entries))
		size := dataBytes(entries)
		p.arrivedAt = 0
		p.inFlight = append(p.inFlight, sentEntries{prev + 1, p.next - 1, size, c.now})
		p.inFlightBytes += size
	}
}

// stepAppendReply handles a member's reply to an Append or a completed snapshot.
func (c *Core) stepAppendReply(m Message) {
	if c.role != Leader {
		return
	}
	p := c.leaderState.progress[m.From]
	if p == nil {
		return
	}
	p.lastResponse, p.hasReplied = c.now, true
	c.measureConfirmation(p, m.Round)
	p.round = max(p.round, m.Round)
	if m.Reject {
		c.stepAppendRejected(p, m)
	} else {
		c.stepAppendAccepted(m.From, p, m)
	}
	c.confirmReads()
}

func (c *Core) stepAppendAccepted(from DiskIdentity, p *progress, m Message) {
	if m.Match > c.log.lastIndex() {
		logsDiverged.Inc()
		return
	}
	if _, isVoter := c.Configuration().Voter(from); isVoter && m.Match > p.match && c.lacksUncommitted(p) {
		c.leaderState.lastProgress = c.now
	}
	p.acknowledge(m.Match)
	isMatched := m.Match+1 >= p.next || m.Index == p.next-1
	switch {
	case p.state == snapshotting && p.match >= c.log.baseIndex:
		p.probe()
		p.next, p.snapshot = p.match+1, nil
	case p.state == probing && isMatched:
		p.state, p.paused = replicating, false
	}
	c.advanceCommit()
	c.completeTransfer(from, p)
}

// lacksUncommitted reports whether a member lacks the next entry that can be committed, which has to
// be of the leader's own term. What it receives beyond that entry commits nothing.
func (c *Core) lacksUncommitted(p *progress) bool {
	return p.match < max(c.commit+1, c.leaderState.termStart)
}

// stepAppendRejected moves the next index back to where the logs may match.
func (c *Core) stepAppendRejected(p *progress, m Message) {
	isStale := m.Index < p.match || p.state == snapshotting || m.Index >= p.next
	if isStale {
		return
	}
	if m.Match < p.match {
		logsDiverged.Inc()
	}
	hint := min(m.Match, c.log.lastIndex())
	for hint > p.match {
		term, ok := c.log.term(hint)
		if !ok || term <= m.LogTerm {
			break
		}
		hint--
	}
	p.probe()
	p.next = max(p.match, hint) + 1
}

// advanceCommit advances the commit index to the last entry synced by a majority
// of the voters, if that entry is of the leader's own term.
func (c *Core) advanceCommit() {
	voters := c.Configuration().Voters
	matches := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		matches = append(matches, c.syncedIndex(voter.Disk))
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.Configuration().Quorum()]
	if index <= c.commit || !c.log.matches(index, c.hardState.Term) {
		return
	}
	c.commit, c.leaderState.lastProgress = index, c.now
	c.updateEarlyReads()
	c.stepDownIfRemoved()
}

// stepDownIfRemoved makes the leader step down once its own removal is committed.
func (c *Core) stepDownIfRemoved() {
	last := c.configurations[len(c.configurations)-1]
	if last.index <= c.commit && !c.isVoter() {
		c.broadcastHeartbeat()
		c.becomeFollower(c.hardState.Term, "")
	}
}
