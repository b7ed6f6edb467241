package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/gossip"
)

// Intervals and limits of quorum membership changes.
const (
	reconcileInterval = 500 * time.Millisecond
	changeTimeout     = time.Second
	// goneTimeout is the silence after which a member is replaced, if another disk is
	// available. With an election and a learner's settling before it, the successor votes
	// within the four seconds after which another disk may be lost.
	goneTimeout = 2 * time.Second
	// replyTimeout is the silence up to which a learner is taken for running.
	replyTimeout = time.Second
	// learnerSettleTime is how long a new member receives the log before it may
	// replace a member that is gone.
	learnerSettleTime = time.Second
	minVoters         = 3 // with fewer, a settled learner is promoted at once
)

// memberReconciler adjusts the quorum's members to the available entries with a disk.
// It acts on the leader only and makes one change at a time.
type memberReconciler struct {
	manager     *quorumManager
	nextRun     time.Time
	changing    chan struct{} // holds a value while a change is in progress
	learnerSeen map[quorum.DiskIdentity]time.Time
	observer    memberObserver
}

func newMemberReconciler(c *quorumManager) *memberReconciler {
	return &memberReconciler{manager: c, changing: make(chan struct{}, 1), learnerSeen: map[quorum.DiskIdentity]time.Time{}, observer: memberObserver{manager: c}}
}

// reconcile starts the next change, if any is due.
func (k *memberReconciler) reconcile(ctx context.Context, now time.Time) {
	node := k.manager.currentNode()
	if node == nil || now.Before(k.nextRun) {
		return
	}
	k.nextRun = now.Add(reconcileInterval)
	s := node.Status()
	if !s.IsLeader || !s.HasQuorum {
		clear(k.learnerSeen)
		k.observer.reset()
		return
	}
	changes := k.plan(now, s)
	if len(changes) == 0 {
		return
	}
	select {
	case k.changing <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-k.changing }()
		k.applyChanges(ctx, node, changes)
	}()
}

func (k *memberReconciler) applyChanges(ctx context.Context, node *quorum.Node, changes []quorum.Change) {
	for _, change := range changes {
		changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		err := node.ChangeMember(changeCtx, change)
		cancel()
		k.manager.log.Info("members of the quorum", "step", "mesh.keeper", "change", change.Kind.String(),
			"member", change.Member.Name, "disk", change.Member.Disk, "error", errorText(err))
		if err != nil {
			return
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// plan returns the next change, or changes that must be made together.
func (k *memberReconciler) plan(now time.Time, s quorum.Status) []quorum.Change {
	view := k.diskEntries(now)
	k.observer.observe(s, view)
	return planChanges(now, s, view, k.learnerSeen)
}

// diskEntry is an entry with a disk that this process knows.
type diskEntry struct {
	member quorum.Member
	left   bool // it has announced that it leaves
	silent bool // no call with it has succeeded for goneTimeout
}

// diskEntries returns the known entries with a disk, by name. Entries that were lost
// before this process started are missing.
func (k *memberReconciler) diskEntries(now time.Time) map[string]diskEntry {
	m := k.manager.mesh
	records := m.gossip.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]diskEntry{}
	for _, r := range records {
		if !hasDisk(r) {
			continue
		}
		p := m.peers[r.Name]
		entry := diskEntry{member: quorum.Member{Name: r.Name, Address: r.Address}}
		if p != nil {
			entry.member.Disk = p.facts.Disk
			entry.left = r.State == membership.Left
			entry.silent = now.Sub(p.lastResponse) > goneTimeout
		}
		out[r.Name] = entry
	}
	return out
}

// planChanges returns the next changes. Whether a member is gone follows from its replies
// to this leader; view tells which other disks there are. learnerSeen records when each
// learner was first seen and is kept between calls.
func planChanges(now time.Time, s quorum.Status, view map[string]diskEntry, learnerSeen map[quorum.DiskIdentity]time.Time) []quorum.Change {
	members := quorum.Configuration{Voters: s.Voters, Learners: s.Learners}
	for _, l := range s.Learners {
		if _, known := learnerSeen[l.Disk]; !known {
			learnerSeen[l.Disk] = now
		}
		if isGone(l, s, view) {
			return []quorum.Change{{Kind: quorum.Remove, Member: l}}
		}
	}
	if learner, ok := settledLearner(now, s, learnerSeen); ok {
		promote := quorum.Change{Kind: quorum.Promote, Member: learner}
		if len(s.Voters) < minVoters || len(s.Voters)%2 == 0 {
			return []quorum.Change{promote}
		}
		if gone, ok := goneVoter(s, view); ok {
			return []quorum.Change{{Kind: quorum.Remove, Member: gone}, promote}
		}
	}
	return newLearner(s, members, view)
}

// isGone reports whether a member has left, or has not replied to this leader for
// goneTimeout.
func isGone(m quorum.Member, s quorum.Status, view map[string]diskEntry) bool {
	return view[m.Name].left || s.Progress[m.Disk].Silence > goneTimeout
}

// settledLearner returns a learner that may vote: it replies, is caught up and has
// received the log for learnerSettleTime.
func settledLearner(now time.Time, s quorum.Status, learnerSeen map[quorum.DiskIdentity]time.Time) (quorum.Member, bool) {
	for _, l := range s.Learners {
		p := s.Progress[l.Disk]
		// A learner that replaces a lost disk is promoted by the quorum itself.
		if l.Replaces == "" && p.CaughtUp && p.Silence <= replyTimeout && now.Sub(learnerSeen[l.Disk]) >= learnerSettleTime {
			return l, true
		}
	}
	return quorum.Member{}, false
}

// goneVoter returns a voter to be replaced. A voter whose own entry is back with a new disk
// is left to the quorum's repair.
func goneVoter(s quorum.Status, view map[string]diskEntry) (quorum.Member, bool) {
	for _, v := range s.Voters {
		isBeingRepaired := slices.ContainsFunc(s.Learners, func(l quorum.Member) bool { return l.Replaces == v.Disk })
		if v.Disk != s.DiskIdentity && !isBeingRepaired && isGone(v, s, view) {
			return v, true
		}
	}
	return quorum.Member{}, false
}

// newLearner adds an entry's disk that is not in the quorum yet. A new disk under
// the name of a member is left to the quorum's own repair.
func newLearner(s quorum.Status, members quorum.Configuration, view map[string]diskEntry) []quorum.Change {
	taken := map[string]bool{s.Name: true}
	for _, m := range members.Members() {
		taken[m.Name] = true
	}
	for name, one := range view {
		if !taken[name] && !one.left && !one.silent && one.member.Disk != "" {
			return []quorum.Change{{Kind: quorum.AddLearner, Member: one.member}}
		}
	}
	return nil
}

// dutiesOf returns the duties that a member reports.
func dutiesOf(r membership.Record) []string { return gossip.Facts(r).GetDuties() }
