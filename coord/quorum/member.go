package quorum

import (
	"fmt"
	"slices"
)

// DiskIdentity identifies a disk: 16 hexadecimal digits generated at its first use.
type DiskIdentity string

// Member is a member of the quorum. Initial members are configured without Disk,
// which they report themselves during bootstrap.
type Member struct {
	Name    string       `json:"name"`
	Address string       `json:"address"`
	Disk    DiskIdentity `json:"disk"`
	// Replaces is the disk of the voter that a learner replaces.
	Replaces DiskIdentity `json:"replaces,omitempty"`
}

// Configuration is the set of members in effect at a log index.
type Configuration struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1 // adds a member that receives the log and does not vote
	Promote                          // makes a caught-up learner a voter
	Remove                           // removes a voter or learner
)

// String returns the name used in logs.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add_learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	default:
		return fmt.Sprintf("change(%d)", uint8(k))
	}
}

// Change is one membership change. Promote and Remove identify the member by Disk.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

// Voter returns the voter with the given disk.
func (c Configuration) Voter(disk DiskIdentity) (Member, bool) { return find(c.Voters, disk) }

// Learner returns the learner with the given disk.
func (c Configuration) Learner(disk DiskIdentity) (Member, bool) { return find(c.Learners, disk) }

// Member returns the voter or learner with the given disk.
func (c Configuration) Member(disk DiskIdentity) (Member, bool) {
	if m, ok := c.Voter(disk); ok {
		return m, true
	}
	return c.Learner(disk)
}

// Members returns all voters and learners.
func (c Configuration) Members() []Member {
	return slices.Concat(c.Voters, c.Learners)
}

// With returns the configuration with change applied.
func (c Configuration) With(change Change) (Configuration, error) {
	disk := change.Member.Disk
	_, isVoter := c.Voter(disk)
	learner, isLearner := c.Learner(disk)
	next := Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
	switch {
	case disk == "":
		return c, fmt.Errorf("%w: %s without a disk identity", ErrChangeInvalid, change.Kind)
	case change.Kind == AddLearner && !isVoter && !isLearner:
		next.Learners = append(next.Learners, change.Member)
	case change.Kind == Promote && isLearner:
		next.Learners = without(next.Learners, disk)
		learner.Replaces = ""
		next.Voters = append(next.Voters, learner)
	case change.Kind == Remove && isLearner:
		next.Learners = without(next.Learners, disk)
	case change.Kind == Remove && isVoter && len(c.Voters) > 1:
		next.Voters = without(next.Voters, disk)
	default:
		return c, fmt.Errorf("%w: %s of %s with disk %s", ErrChangeInvalid, change.Kind, change.Member.Name, disk)
	}
	return next, nil
}

func find(members []Member, disk DiskIdentity) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.Disk == disk })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func without(members []Member, disk DiskIdentity) []Member {
	return slices.DeleteFunc(members, func(m Member) bool { return m.Disk == disk })
}
