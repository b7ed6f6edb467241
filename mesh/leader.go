package mesh

import (
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// Bounds of the age of what members reported of the leader.
const (
	// hintTurns are the turns of syncs without a confirmation after which an address is not
	// believed. In one turn an entry asks each member; a call may be lost, and an election takes
	// as long as another turn.
	hintTurns = 3
	// minHintAge is the same in a small fleet: an entry that didn't answer is not called for as long.
	minHintAge = maxSyncBackoff
)

// Denial is what an entry that doesn't lead the quorum tells a caller that took it for the leader.
type Denial struct {
	Leader     string `json:"leader,omitempty"`      // address, if this entry believes in one
	LeaderTerm uint64 `json:"leader_term,omitempty"` // in which Leader leads; 0 if unknown
	// LeaderAgeMs is the time since a member that hears Leader confirmed it, in milliseconds.
	LeaderAgeMs int64  `json:"leader_age_ms,omitempty"`
	DeniedTerm  uint64 `json:"denied_term,omitempty"` // this entry leads in no term up to this one; 0 if unknown
}

// Denial returns the denial of this entry.
func (m *Mesh) Denial() Denial {
	d := Denial{}
	if node := m.quorum.currentNode(); node != nil {
		d.DeniedTerm = deniedTerm(node.Status())
	}
	d.Leader, _, d.LeaderTerm = m.quorum.leader()
	if d.Leader != "" {
		d.LeaderAgeMs = m.quorum.hintAge(time.Now()).Milliseconds()
	}
	return d
}

// hintAge returns the time since the leader was last confirmed.
func (c *quorumManager) hintAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(now.Sub(c.hint.at), 0)
}

// deniedTerm returns the term up to which a member surely doesn't lead. One that awaits votes may
// be elected in its term, and the status of one that leads may be older than its election.
func deniedTerm(s quorum.Status) uint64 {
	if s.MayWinTerm {
		return s.Term - 1
	}
	return s.Term
}

// NoteDenial records that an address denied to lead, and returns the address of the leader
// that this entry believes in then, empty if it knows none or is the leader.
func (m *Mesh) NoteDenial(address string, d Denial) (leader string) {
	m.quorum.noteDenial(address, d)
	leader, _, _ = m.quorum.leader()
	return leader
}

func (c *quorumManager) noteDenial(address string, d Denial) {
	c.updateHint("denial", func(h leaderHint, now time.Time, maxAge time.Duration) leaderHint {
		confirmed := now.Add(-time.Duration(max(d.LeaderAgeMs, 0)) * time.Millisecond)
		return h.deny(address, d.DeniedTerm, now).reportAt(d.Leader, d.LeaderTerm, confirmed, now, maxAge)
	})
}

// noteLeader records that an address acted as the leader of a term; 0 if unknown.
func (c *quorumManager) noteLeader(address string, term uint64) {
	c.updateHint("answer", func(h leaderHint, now time.Time, _ time.Duration) leaderHint { return h.answered(address, term, now) })
}

// noteStatus records the leader that this entry's member hears.
func (c *quorumManager) noteStatus(s quorum.Status) {
	if !s.HasQuorum {
		return
	}
	c.updateHint("member", func(h leaderHint, now time.Time, maxAge time.Duration) leaderHint {
		return h.report(s.LeaderAddress, s.Term, now, maxAge)
	})
}

// updateHint changes what this entry knows of the leader; source is the entry or the kind of
// call from which the change comes.
func (c *quorumManager) updateHint(source string, change func(h leaderHint, now time.Time, maxAge time.Duration) leaderHint) {
	now, maxAge := time.Now(), c.maxHintAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.hint.believed(now, maxAge)
	c.hint = change(c.hint, now, maxAge)
	if address := c.hint.believed(now, maxAge); address != before {
		c.hints.changed(c.log, now, before, address, source)
	}
}

// maxHintAge returns the time for which an address is believed without a confirmation. The
// caller holds neither the mesh's lock nor c.mu.
func (c *quorumManager) maxHintAge() time.Duration {
	return max(hintTurns*c.mesh.SyncTurn(), minHintAge)
}

// updateLeader takes over what this entry's member knows of the leader.
func (c *quorumManager) updateLeader() {
	node := c.currentNode()
	if node == nil {
		return
	}
	s := c.addresses.currentStatus(node.Status())
	c.noteStatus(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Leader != c.lastLeader {
		c.log.Info("leader", "step", "mesh.leader", "name", s.Leader, "term", s.Term, "before", c.lastLeader)
		c.lastLeader = s.Leader
	}
}

// leader returns the leader's address, empty if it is unknown or this entry, its term, and
// whether this entry is the leader.
func (c *quorumManager) leader() (address string, isSelf bool, term uint64) {
	var s quorum.Status
	node := c.currentNode()
	if node != nil {
		s = c.addresses.currentStatus(node.Status())
		if s.IsLeader && s.HasQuorum {
			return "", true, s.Term
		}
		c.noteStatus(s)
	}
	maxAge := c.maxHintAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	address = c.hint.believed(time.Now(), maxAge)
	isLost := node != nil && c.hint.isLostBy(s)
	if address == "" || isLost || address == c.mesh.options.Address {
		return "", false, 0
	}
	return address, false, c.hint.term
}

// leaderAddress returns the leader's address, which may be that of this entry, and whether this
// entry is the leader.
func (c *quorumManager) leaderAddress() (address string, isSelf bool) {
	address, isSelf, _ = c.leader()
	if isSelf {
		return c.mesh.options.Address, true
	}
	return address, false
}
