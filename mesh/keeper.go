package mesh

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/gossip"
)

// Times and sizes of the quorum's upkeep.
const (
	keepPeriod    = 500 * time.Millisecond
	changeTimeout = time.Second
	// goneAfter is when a member that fell silent is replaced, if another disk
	// is there. Restarts and short freezes are over by then.
	goneAfter = 6 * time.Second
	// settleTime is how long a new member receives the log before it may take
	// the place of one that is gone.
	settleTime = time.Second
	fewVoters  = 3 // below that, a caught-up learner votes at once
)

// keeper brings the members of the quorum in step with the disks that are there.
// It acts on the leader only, one change at a time.
type keeper struct {
	core  *core
	next  time.Time
	busy  chan struct{} // holds a value while a change is under way
	since map[quorum.DiskIdentity]time.Time
}

func newKeeper(c *core) *keeper {
	return &keeper{core: c, busy: make(chan struct{}, 1), since: map[quorum.DiskIdentity]time.Time{}}
}

// tend makes the next change, if one is due.
func (k *keeper) tend(ctx context.Context, now time.Time) {
	node := k.core.current()
	if node == nil || now.Before(k.next) {
		return
	}
	k.next = now.Add(keepPeriod)
	s := node.Status()
	if !s.IsLeader || !s.HasQuorum {
		clear(k.since)
		return
	}
	changes := k.plan(now, s)
	if len(changes) == 0 {
		return
	}
	select {
	case k.busy <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-k.busy }()
		k.change(ctx, node, changes)
	}()
}

func (k *keeper) change(ctx context.Context, node *quorum.Node, changes []quorum.Change) {
	for _, change := range changes {
		one, cancel := context.WithTimeout(ctx, changeTimeout)
		err := node.ChangeMember(one, change)
		cancel()
		k.core.log.Info("members of the quorum", "step", "mesh.keeper", "change", change.Kind.String(),
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

// plan works out the changes that belong together.
func (k *keeper) plan(now time.Time, s quorum.Status) []quorum.Change {
	view := k.view(now)
	return planMembers(now, s, view, k.since)
}

// seat is what the keeper knows of an entry with a disk.
type seat struct {
	member quorum.Member
	gone   bool // left, or silent for long
}

// view is the entries with a disk, by name.
func (k *keeper) view(now time.Time) map[string]seat {
	m := k.core.mesh
	records := m.gossip.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]seat{}
	for _, r := range records {
		if !hasDisk(r) {
			continue
		}
		p := m.peers[r.Name]
		one := seat{member: quorum.Member{Name: r.Name, Address: r.Address}}
		if p != nil {
			one.member.Disk = p.facts.Disk
			one.gone = r.State == membership.Left || now.Sub(p.answered) > goneAfter
		}
		out[r.Name] = one
	}
	return out
}

// planMembers decides what changes next. since is when each learner was first
// seen, kept between calls.
func planMembers(now time.Time, s quorum.Status, view map[string]seat, since map[quorum.DiskIdentity]time.Time) []quorum.Change {
	members := quorum.Configuration{Voters: s.Voters, Learners: s.Learners}
	for _, l := range s.Learners {
		if _, known := since[l.Disk]; !known {
			since[l.Disk] = now
		}
		if view[l.Name].gone {
			return []quorum.Change{{Kind: quorum.Remove, Member: l}}
		}
	}
	if settled, ok := settledLearner(now, s.Learners, since); ok {
		promote := quorum.Change{Kind: quorum.Promote, Member: settled}
		if len(s.Voters) < fewVoters || len(s.Voters)%2 == 0 {
			return []quorum.Change{promote}
		}
		if gone, ok := goneVoter(s, view); ok {
			return []quorum.Change{{Kind: quorum.Remove, Member: gone}, promote}
		}
	}
	return newLearner(s, members, view)
}

func settledLearner(now time.Time, learners []quorum.Member, since map[quorum.DiskIdentity]time.Time) (quorum.Member, bool) {
	for _, l := range learners {
		// One that replaces a lost disk is brought on by the quorum itself.
		if l.Replaces == "" && now.Sub(since[l.Disk]) >= settleTime {
			return l, true
		}
	}
	return quorum.Member{}, false
}

func goneVoter(s quorum.Status, view map[string]seat) (quorum.Member, bool) {
	for _, v := range s.Voters {
		if one, known := view[v.Name]; v.Disk != s.DiskIdentity && known && one.gone {
			return v, true
		}
	}
	return quorum.Member{}, false
}

// newLearner adds a disk that has no part in the quorum. A new disk under the
// name of a member is left to the quorum's own repair.
func newLearner(s quorum.Status, members quorum.Configuration, view map[string]seat) []quorum.Change {
	taken := map[string]bool{s.Name: true}
	for _, m := range members.Members() {
		taken[m.Name] = true
	}
	for name, one := range view {
		if !taken[name] && !one.gone && one.member.Disk != "" {
			return []quorum.Change{{Kind: quorum.AddLearner, Member: one.member}}
		}
	}
	return nil
}

// factsOf returns the duties that a member tells of itself.
func factsOf(r membership.Record) []string { return gossip.Facts(r).GetDuties() }
