package quorum

const (
	// probeShare is the part of MaxMessageBytes that a probe may have, as a divisor.
	probeShare = 64
	// unreportedFactor is the multiple of the expected time after which a message is taken for
	// lost though the transport, which reports that, has not done so.
	unreportedFactor = 20
	// stalledFactor is the time, as a multiple of the election timeout, without an acknowledgement
	// after which a leader with entries that wait for one steps down.
	stalledFactor = 6
	// stalledWaitFactor prolongs its next election timeout, so that another member is elected.
	stalledWaitFactor = 2
)

// hasLost reports whether entries or a chunk that a member was sent are taken for lost: it has
// replied so much later that they should have arrived. Sent again while they are on their way, or
// to a member that is down, they would only fill the link.
func (c *Core) hasLost(p *progress) bool {
	var sent, allowed uint64
	switch {
	case p.lostAt != 0 && p.lastResponse > p.lostAt:
		return true
	case p.state == snapshotting:
		sent, allowed = p.lastChunkSent, c.arrivalTicks(p.chunkBytes)
	case p.state == replicating && len(p.inFlight) > 0:
		sent, allowed = p.inFlight[0].sent, c.arrivalTicks(p.inFlightBytes)
	default:
		return false
	}
	switch {
	case !c.config.ReportsDelivery:
	case p.arrivedAt > 0:
		sent = p.arrivedAt
	default:
		allowed *= unreportedFactor
	}
	return p.lastResponse > sent+allowed
}

// arrivalTicks returns the time within which so many bytes arrive and are acknowledged.
func (c *Core) arrivalTicks(bytes int) uint64 {
	ticks := c.config.ElectionTicks
	if c.config.BytesPerTick > 0 {
		ticks += bytes / c.config.BytesPerTick
	}
	return uint64(ticks)
}

// canSend reports whether the flow control limits allow entries to be sent. Replies limit what is
// sent by its bytes, too: a new member that is sent the whole log at once gets none of it in time.
func (c *Core) canSend(p *progress) bool {
	switch p.state {
	case probing:
		return !p.paused
	case replicating:
		return p.next-p.match <= uint64(c.config.MaxInFlight) && p.inFlightBytes < c.config.MaxMessageBytes
	default:
		return false
	}
}

// probeEntries returns the entries that are sent with a probe: a few small ones, as probes are
// repeated with each heartbeat, also to a member that is down or still receives the last one.
func (c *Core) probeEntries(p *progress) []Entry {
	limit := c.config.MaxMessageBytes / probeShare
	entries := c.log.slice(p.next, c.log.lastIndex(), limit)
	if dataBytes(entries) > limit {
		return nil // a single one
	}
	return entries
}

func dataBytes(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}

// probe starts the search for the matching index. What was not acknowledged is sent again.
func (p *progress) probe() {
	if p.state == replicating {
		p.next = p.match + 1
	}
	p.state, p.paused = probing, false
	p.inFlight, p.inFlightBytes, p.lostAt = nil, 0, 0
}

// ReportLost tells that entries or a chunk that were sent to a member may not have arrived. They
// are sent again once the member replies.
func (c *Core) ReportLost(disk DiskIdentity) {
	if p := c.leaderState.progress[disk]; p != nil {
		p.lostAt = c.now
	}
}

// ReportDelivered tells that all entries or chunks that were sent to a member have arrived.
func (c *Core) ReportDelivered(disk DiskIdentity) {
	if p := c.leaderState.progress[disk]; p != nil {
		p.arrivedAt = c.now
	}
}

// acknowledge records that the member has synced the entries up to match.
func (p *progress) acknowledge(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	for len(p.inFlight) > 0 && p.inFlight[0].last <= p.match {
		p.inFlightBytes -= p.inFlight[0].bytes
		p.inFlight = p.inFlight[1:]
	}
}

// isStalled reports whether entries have waited for long to be committed, while no voter that lacks them
// has acknowledged any or a part of a snapshot: heartbeats of this leader pass, its entries don't.
// Another one may be able to lead.
func (c *Core) isStalled() bool {
	if c.commit >= c.log.lastIndex() || len(c.Configuration().Voters) == 1 {
		c.leaderState.lastProgress = c.now
		return false
	}
	waiting := dataBytes(c.log.slice(c.commit+1, c.log.lastIndex(), c.config.MaxMessageBytes))
	for _, voter := range c.Configuration().Voters {
		p := c.leaderState.progress[voter.Disk]
		if p != nil && c.now-p.lastResponse <= uint64(c.config.ElectionTicks) {
			waiting = max(waiting, p.inFlightBytes) // of entries before them, which it lacks
		}
	}
	allowed := stalledFactor*uint64(c.config.ElectionTicks) + c.arrivalTicks(waiting) + uint64(replyAllowanceFactor*c.syncTicks)
	return c.now-c.leaderState.lastProgress > allowed
}
