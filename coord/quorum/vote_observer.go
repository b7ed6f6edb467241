package quorum

import (
	"slices"
	"time"
)

const (
	// maxVoteRefusals bounds the different refusals that are logged in a voteReport: those of eight
	// candidates. Members of a quorum and disks that were removed from it may ask at the same time.
	maxVoteRefusals = 8 * maxCandidateRefusals
	// maxCandidateRefusals bounds those of one candidate, which takes no other's place.
	maxCandidateRefusals = 3
	// voteReport is how often refused requests for votes are logged. A disk that was removed asks
	// several times a second for as long as it runs.
	voteReport = 2 * time.Second
	// maxUncommitted bounds the entries that ElectionProgress shows.
	maxUncommitted = 8
)

// voteRefusal is a request for a vote that this member refused, or dropped without a reply.
type voteRefusal struct {
	candidate DiskIdentity
	name      string // of the candidate, as it states it
	request   MessageKind
	reason    string
	dropped   bool
}

// voteObserver records what explains an election that is not won. It decides nothing.
type voteObserver struct {
	refusals  []voteRefusal
	unlisted  int // refusals since the last report that are listed already, or don't fit
	replies   int // ticks until the slowest reply to an attempt, since a leader was last heard
	late      int // votes granted after this member had given up the attempt
	sync      int // ticks that the slowest write took, since a leader was last heard
	lastTicks int // ticks since the last report
}

// reset forgets the measurements once a leader is heard.
func (o *voteObserver) reset() { o.replies, o.late, o.sync = 0, 0, 0 }

func (o *voteObserver) add(r voteRefusal) {
	sameCandidate := 0
	for _, other := range o.refusals {
		if other.candidate == r.candidate && other.name == r.name {
			sameCandidate++
		}
	}
	if sameCandidate >= maxCandidateRefusals || len(o.refusals) >= maxVoteRefusals || slices.Contains(o.refusals, r) {
		o.unlisted++
		return
	}
	o.refusals = append(o.refusals, r)
}

// noteDropped records a request for a vote that is dropped.
func (c *Core) noteDropped(m Message) {
	if m.Kind != PreVote && m.Kind != Vote {
		return
	}
	reason := "not a member here"
	switch {
	case m.To != c.config.Self:
		reason = "addressed to another disk"
	case m.Cluster != c.hardState.Cluster:
		reason = "of another quorum"
	}
	c.observer.add(voteRefusal{candidate: m.From, name: m.Sender.Name, request: m.Kind, reason: reason, dropped: true})
}

// noteRefused records a request for a vote that is refused.
func (c *Core) noteRefused(m Message) {
	if m.Kind != PreVote && m.Kind != Vote {
		return
	}
	reason := "voted for another candidate"
	switch {
	case c.hearsOtherLeader(m.From):
		reason = "hears a leader"
	case m.Kind == PreVote && c.hasOpenElection():
		reason = "waits for another election"
	case m.Term < c.hardState.Term:
		reason = "older term"
	case !c.log.isUpToDate(m.Index, m.LogTerm):
		reason = "log is behind"
	}
	// A vote of a newer term is not answered while a leader is heard.
	dropped := m.Kind == Vote && m.Term > c.hardState.Term
	c.observer.add(voteRefusal{candidate: m.From, name: m.Sender.Name, request: m.Kind, reason: reason, dropped: dropped})
}

// noteLateVote counts a vote that is granted after this member has given up its term. A later
// election doesn't count it.
func (c *Core) noteLateVote(m Message) {
	isWaiting := c.role == PreCandidate || c.role == Candidate
	if isWaiting && m.Kind == VoteReply && !m.Reject && m.Term < c.hardState.Term {
		c.observer.late++
		votesLate.Inc()
	}
}

// noteSynced measures how long a write took that is now on disk.
func (c *Core) noteSynced(w pendingWrite) {
	c.observer.sync = max(c.observer.sync, int(c.now-w.since))
}

// Election returns the attempts to elect a leader since one was last heard.
func (c *Core) Election() ElectionProgress {
	if c.HasQuorum() {
		return ElectionProgress{}
	}
	votes := c.votes
	if c.role == PreCandidate {
		votes = c.preVotes
	}
	e := ElectionProgress{
		Attempts: c.attempts, Granted: c.countVotes(votes, true), Refused: c.countVotes(votes, false), LateVotes: c.observer.late,
		silentTicks: c.now - c.leaderHeard, replyTicks: c.observer.replies, syncTicks: c.observer.sync,
	}
	for _, voter := range c.Configuration().Voters {
		granted, replied := votes[voter.Disk]
		switch {
		case !replied && votes != nil:
			e.SilentVoters = append(e.SilentVoters, voter.Name)
		case replied && !granted:
			e.RefusedBy = append(e.RefusedBy, voter.Name)
		}
	}
	if len(c.pendingWrites) > 0 {
		e.syncTicks = max(e.syncTicks, int(c.now-c.pendingWrites[0].since))
	}
	last := c.log.lastIndex()
	if first := max(c.commit+1, last-min(last, maxUncommitted-1)); first <= last {
		e.Uncommitted = slices.Clone(c.log.slice(first, last, MaxCommandBytes))
	}
	return e
}

// reportVotes logs the requests for votes that were refused since the last report.
func (n *Node) reportVotes() {
	o := &n.core.observer
	o.lastTicks++
	if len(o.refusals) == 0 || o.lastTicks < n.options.ticks(voteReport) {
		return
	}
	for _, r := range o.refusals {
		// Collectors may cut a line after 200 characters.
		n.options.Logger.Warn("vote refused", "candidate", r.name, "reason", r.reason, "dropped", r.dropped, "request", r.request.String(),
			"disk", r.candidate, "term", n.core.Term(), "role", n.core.Role().String(), "unlisted", o.unlisted, "step", "quorum.vote")
	}
	o.refusals, o.unlisted, o.lastTicks = nil, 0, 0
}
