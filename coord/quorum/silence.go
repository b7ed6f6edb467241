package quorum

import quorumv1 "github.com/jacinthplank/jacinthplank/coord/gen/jacinthplank/quorum/v1"

// maxReportedTicks limits what a member takes over of another one's measurements, so that sums of them
// don't overflow. It is a day with the default tick.
const maxReportedTicks = 4 << 20

// firstReplyHeartbeats is the time, in heartbeat intervals, that a new leader waits for a member's first
// reply in addition to the times that it knows: one message and the heartbeat after it may be lost.
const firstReplyHeartbeats = 2

// memberSilence is what a leader that hands over has measured of another member, in ticks.
type memberSilence struct {
	disk   DiskIdentity
	silent uint64 // since its last reply to this leader, or to those that handed over to it in turn
	reply  uint64 // time that its replies took before
}

// inheritedSilences are the measurements of the leader that has handed over to this member. They count
// if this member is the next leader, also by its second attempt: it has asked all voters for their
// votes meanwhile.
type inheritedSilences struct {
	term     uint64 // of the leader
	received uint64 // tick
	members  map[DiskIdentity]memberSilence
}

// silences returns the measurements for the successor. Members that have replied neither to this leader nor
// to those before it in turn are left out: it isn't known how long their replies take. That may be longer
// than each leader lasts.
func (c *Core) silences() []memberSilence {
	var out []memberSilence
	for _, disk := range c.peerDisks() {
		if p := c.leaderState.progress[disk]; p.replyTicks > 0 {
			out = append(out, memberSilence{disk, c.totalSilence(disk), uint64(p.replyTicks)})
		}
	}
	return out
}

// receiveSilences keeps the measurements of the current leader, which has told this member to start an election.
func (c *Core) receiveSilences(silences []memberSilence) {
	members := map[DiskIdentity]memberSilence{}
	for _, s := range silences {
		if _, isMember := c.Configuration().Member(s.disk); isMember && s.reply > 0 {
			members[s.disk] = memberSilence{s.disk, min(s.silent, maxReportedTicks), min(s.reply, maxReportedTicks)}
		}
	}
	c.inherited = inheritedSilences{term: c.hardState.Term, received: c.now, members: members}
}

// inheritSilences takes over the measurements of the leader that has handed over to this new one. They
// count if the log, whose last term is given, ends with that leader's entries: a later leader that this
// member doesn't know of has committed nothing.
func (c *Core) inheritSilences(lastTerm uint64) {
	inherited := c.inherited
	c.inherited = inheritedSilences{}
	if inherited.term != lastTerm {
		return
	}
	for disk, s := range inherited.members {
		p := c.leaderState.progress[disk]
		if p == nil {
			continue
		}
		p.replyTicks = int(s.reply)
		p.silentBefore = s.silent + c.now - inherited.received
		reply := replyAllowanceFactor * max(c.replyTicks, c.syncTicks, p.replyTicks)
		p.firstReplyBy = c.now + uint64(firstReplyHeartbeats*c.config.HeartbeatTicks+reply)
	}
}

// endInheritedSilence is called with each message of a member, which shows that it lives.
func (c *Core) endInheritedSilence(disk DiskIdentity) {
	delete(c.inherited.members, disk)
	if p := c.leaderState.progress[disk]; p != nil {
		p.silentBefore, p.firstReplyBy = 0, 0
	}
}

// totalSilence returns the ticks since a member last replied to this leader or to those that handed over
// to it in turn, 0 if it has replied to none of them.
func (c *Core) totalSilence(disk DiskIdentity) uint64 {
	p := c.leaderState.progress[disk]
	if p == nil || p.replyTicks == 0 {
		return 0
	}
	return p.silentBefore + c.silentTicks(disk)
}

// isFirstReplyOverdue reports whether a member whose silence was handed over to this leader has not
// replied to it in the time that its first reply should take.
func (c *Core) isFirstReplyOverdue(disk DiskIdentity) bool {
	p := c.leaderState.progress[disk]
	return p != nil && p.firstReplyBy > 0 && c.now > p.firstReplyBy
}

// measureRound starts to measure how long a member's replies take, unless that is being measured. It
// starts again after a time that is too long for a reply: a member that returns after an outage is not slow.
func (c *Core) measureRound(p *progress) {
	limit := uint64(maxReplyFactor * c.config.ElectionTicks)
	if p.round >= p.measuredRound || c.now-p.measuredSince > limit {
		p.measuredRound, p.measuredSince = c.leaderState.round, c.now
	}
}

// measureConfirmation updates the estimate as a member confirms a round.
func (c *Core) measureConfirmation(p *progress, round uint64) {
	if p.round < p.measuredRound && round >= p.measuredRound {
		p.replyTicks = max(1, int(c.now-p.measuredSince), p.replyTicks/2)
	}
}

func silencesToProto(silences []memberSilence) []*quorumv1.Silence {
	var out []*quorumv1.Silence
	for _, s := range silences {
		out = append(out, &quorumv1.Silence{Disk: string(s.disk), SilentTicks: s.silent, ReplyTicks: s.reply})
	}
	return out
}

func silencesFromProto(in []*quorumv1.Silence) []memberSilence {
	var out []memberSilence
	for _, s := range in {
		out = append(out, memberSilence{DiskIdentity(s.GetDisk()), s.GetSilentTicks(), s.GetReplyTicks()})
	}
	return out
}
