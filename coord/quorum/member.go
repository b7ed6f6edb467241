package quorum

import (
	"fmt"
	"slices"
)

// DiskIdentity names a disk: 16 hexadecimal digits made at its first use.
type DiskIdentity string

// Member is one member of the quorum. Members of a first configuration are
// given without Disk, which is learned from them.
type Member struct {
	Name    string       `json:"name"`
	Address string       `json:"address"`
	Disk    DiskIdentity `json:"disk"`
	// Replaces is the voter's disk in whose place a learner is to vote.
	Replaces DiskIdentity `json:"replaces,omitempty"`
}

// Configuration is the members that have effect at some index of the log.
type Configuration struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// ChangeKind is what a change of members does.
type ChangeKind uint8

// Kinds of changes.
const (
	AddLearner ChangeKind = iota + 1 // a member starts to receive the log
	Promote                          // a learner that is caught up becomes a voter
	Remove                           // a voter or learner leaves
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

// Change is one change of members. Promote and Remove find the member by Disk.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// Quorum returns how many voters are a majority.
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

// Members returns voters and learners.
func (c Configuration) Members() []Member {
	return slices.Concat(c.Voters, c.Learners)
}

// With returns the configuration after one change.
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
