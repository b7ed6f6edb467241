// Package recovery decides, after a loss, which members of a quorum are added, promoted and
// removed, and when a damaged disk may be emptied. It has no clock, disk or network of its own.
package recovery

import (
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

const (
	// GoneTimeout is the silence after which a member is replaced, if another disk is
	// available. With an election and a learner's settling before it, the successor votes
	// within the four seconds after which another disk may be lost.
	GoneTimeout = 2 * time.Second
	// LearnerSettleTime is how long a new member receives the log before it may replace a
	// member that is gone.
	LearnerSettleTime = time.Second
	replyTimeout      = time.Second // silence up to which a member is taken for running
)

// Disk is the disk of an entry that the leader's process knows.
type Disk struct {
	Member quorum.Member // without Disk until the entry has reported it
	Left   bool          // its entry has announced that it leaves
	Silent bool          // its entry was heard before, and no call with it has succeeded for GoneTimeout
}

// Planner plans the changes of a quorum's members. The zero value is ready for use.
type Planner struct {
	// Tolerated is how many disks may be lost at once. The quorum has twice as many voters and
	// one at least, so that each committed entry is on more disks than that. 0 stands for 1.
	Tolerated int

	learnerSeen map[quorum.DiskIdentity]time.Time // when each learner was first seen
}

func (p *Planner) wantedVoters() int { return WantedVoters(p.Tolerated) }

// WantedVoters returns the number of voters with which so many disks may be lost at once.
func WantedVoters(tolerated int) int { return 2*max(tolerated, 1) + 1 }

// Reset forgets what was seen. It is called while this member does not lead.
func (p *Planner) Reset() { clear(p.learnerSeen) }

// Plan returns the next change, or changes that have to be made together. It is called on the
// leader. Whether a member is gone follows from its replies to this leader; disks, by the names
// of their entries, are those that may be added.
func (p *Planner) Plan(now time.Time, s quorum.Status, disks map[string]Disk) []quorum.Change {
	if p.learnerSeen == nil {
		p.learnerSeen = map[quorum.DiskIdentity]time.Time{}
	}
	members := quorum.Configuration{Voters: s.Voters, Learners: s.Learners}
	for _, l := range s.Learners {
		if _, known := p.learnerSeen[l.Disk]; !known {
			p.learnerSeen[l.Disk] = now
		}
		if disks[l.Name].Left || s.Progress[l.Disk].Silence > GoneTimeout {
			return []quorum.Change{{Kind: quorum.Remove, Member: l}}
		}
	}
	learner, settled := p.settledLearner(now, s)
	gone, lost := goneVoter(s, disks)
	promote := quorum.Change{Kind: quorum.Promote, Member: learner}
	remove := quorum.Change{Kind: quorum.Remove, Member: gone}
	switch {
	case settled && len(s.Voters) < p.wantedVoters():
		// Promoted before a lost voter is removed: with still fewer voters, the disks that may be
		// lost could be all that hold an entry.
		return []quorum.Change{promote}
	case settled && lost:
		return []quorum.Change{remove, promote}
	case lost && len(s.Voters) > p.wantedVoters():
		// Without it the others bear the next loss, however long a new disk takes to learn.
		return []quorum.Change{remove}
	}
	return newLearner(s, members, disks)
}

// isGone reports whether a voter has not replied to this leader for GoneTimeout, or for
// replyTimeout in two cases: its entry has left, or it has never replied to this leader and its entry
// is silent. The latter outlasts a change of leader: leaders that change more often than GoneTimeout
// would keep a lost voter for good. Where leaders hand over more often than replyTimeout, the silence to
// all of them counts once its first reply to this one is overdue.
// That an entry has left may be out of date: after a short
// restart its voter replies before the leader hears of it. The removal of a voter that lives
// leaves one fewer that may be lost until its successor votes.
func isGone(v quorum.Member, s quorum.Status, disks map[string]Disk) bool {
	p, disk := s.Progress[v.Disk], disks[v.Name]
	isSilent := disk.Silent && !p.HasReplied
	isExpected := disk.Left || isSilent
	return p.Silence > GoneTimeout || (isExpected && p.Silence > replyTimeout) ||
		(isSilent && p.IsOverdue && p.TotalSilence > GoneTimeout)
}

// settledLearner returns a learner that may vote: it replies, is caught up and has
// received the log for LearnerSettleTime.
func (p *Planner) settledLearner(now time.Time, s quorum.Status) (quorum.Member, bool) {
	for _, l := range s.Learners {
		progress := s.Progress[l.Disk]
		// A learner that replaces a lost disk is promoted by the quorum itself.
		if l.Replaces == "" && progress.CaughtUp && progress.Silence <= replyTimeout && now.Sub(p.learnerSeen[l.Disk]) >= LearnerSettleTime {
			return l, true
		}
	}
	return quorum.Member{}, false
}

// goneVoter returns a voter to be replaced. A voter whose own entry is back with a new disk
// is left to the quorum's repair once that disk is caught up: until then, which may take long, a
// settled learner takes its place.
func goneVoter(s quorum.Status, disks map[string]Disk) (quorum.Member, bool) {
	for _, v := range s.Voters {
		isBeingRepaired := slices.ContainsFunc(s.Learners, func(l quorum.Member) bool {
			return l.Replaces == v.Disk && s.Progress[l.Disk].CaughtUp
		})
		if v.Disk != s.DiskIdentity && !isBeingRepaired && isGone(v, s, disks) {
			return v, true
		}
	}
	return quorum.Member{}, false
}

// newLearner adds an entry's disk that is not in the quorum yet. A new disk under
// the name of a member is left to the quorum's own repair.
func newLearner(s quorum.Status, members quorum.Configuration, disks map[string]Disk) []quorum.Change {
	taken := map[string]bool{s.Name: true}
	for _, m := range members.Members() {
		taken[m.Name] = true
	}
	for name, one := range disks {
		if !taken[name] && !one.Left && !one.Silent && one.Member.Disk != "" {
			return []quorum.Change{{Kind: quorum.AddLearner, Member: one.Member}}
		}
	}
	return nil
}
