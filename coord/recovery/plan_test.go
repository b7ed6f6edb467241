package recovery

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

func member(name string) quorum.Member {
	return quorum.Member{Name: name, Address: name + ":1", Disk: quorum.DiskIdentity("disk-" + name)}
}

func members(names ...string) []quorum.Member {
	var out []quorum.Member
	for _, n := range names {
		out = append(out, member(n))
	}
	return out
}

// knownDisks returns the disks of known entries.
func knownDisks(names ...string) map[string]Disk {
	out := map[string]Disk{}
	for _, n := range names {
		out[n] = Disk{Member: member(n)}
	}
	return out
}

// leaderStatus returns the status of leader a, to which the members in silent have not
// replied for longer than GoneTimeout. All others reply and are caught up.
func leaderStatus(voters, learners []quorum.Member, silent ...string) quorum.Status {
	s := quorum.Status{
		Name: "a", DiskIdentity: "disk-a", IsLeader: true, HasQuorum: true, Voters: voters, Learners: learners,
		Progress: map[quorum.DiskIdentity]quorum.MemberProgress{},
	}
	for _, m := range slices.Concat(voters, learners) {
		p := quorum.MemberProgress{CaughtUp: true, HasReplied: true}
		if slices.Contains(silent, m.Name) {
			p.Silence = GoneTimeout + time.Millisecond
		}
		s.Progress[m.Disk] = p
	}
	return s
}

// hasLeft returns the entries with those named marked as having left.
func hasLeft(view map[string]Disk, names ...string) map[string]Disk {
	for _, n := range names {
		view[n] = Disk{Member: member(n), Left: true}
	}
	return view
}

// replacing returns a learner with a new disk in place of the disk of a voter of that name.
func replacing(name string) quorum.Member {
	m := member(name)
	m.Disk, m.Replaces = "new-"+m.Disk, m.Disk
	return m
}

func TestPlanChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	settled := map[quorum.DiskIdentity]time.Time{"disk-d": now.Add(-2 * LearnerSettleTime), "disk-e": now.Add(-2 * LearnerSettleTime)}
	fresh := map[quorum.DiskIdentity]time.Time{"disk-d": now}
	abc, abcd, d, de := members("a", "b", "c"), members("a", "b", "c", "d"), members("d"), members("d", "e")
	behind := leaderStatus(abc, d, "c")
	behind.Progress["disk-d"] = quorum.MemberProgress{}
	repaired := leaderStatus(abc, append(members("d"), replacing("c")), "c")
	repaired.Progress[replacing("c").Disk] = quorum.MemberProgress{CaughtUp: true}
	learning := leaderStatus(abc, append(members("d"), replacing("c")), "c")
	learning.Progress[replacing("c").Disk] = quorum.MemberProgress{}
	alone := leaderStatus(abc, []quorum.Member{replacing("c")}, "c")
	alone.Progress[replacing("c").Disk] = quorum.MemberProgress{}
	stopped := leaderStatus(abc, d)
	stopped.Progress["disk-c"] = quorum.MemberProgress{Silence: replyTimeout + time.Millisecond, CaughtUp: true}
	type change struct {
		kind quorum.ChangeKind
		name string
	}
	tests := []struct {
		name        string
		status      quorum.Status
		view        map[string]Disk
		learnerSeen map[quorum.DiskIdentity]time.Time
		want        []change
		tolerated   int // disks at once
	}{
		{"no change", leaderStatus(abc, nil), knownDisks("b", "c"), nil, nil, 1},
		{"a new disk is added as a learner", leaderStatus(abc, nil), knownDisks("b", "c", "d"), nil, []change{{quorum.AddLearner, "d"}}, 1},
		{"a learner waits while all voters are present", leaderStatus(abc, d), knownDisks("b", "c", "d"), settled, nil, 1},
		{"a settled learner replaces a silent voter", leaderStatus(abc, d, "c"), knownDisks("b", "c", "d"), settled, []change{{quorum.Remove, "c"}, {quorum.Promote, "d"}}, 1},
		{"a settled learner replaces a silent voter whose entry is unknown", leaderStatus(abc, d, "c"), knownDisks("b", "d"), settled, []change{{quorum.Remove, "c"}, {quorum.Promote, "d"}}, 1},
		{"a voter that replies stays though its entry has left", leaderStatus(abc, d), hasLeft(knownDisks("b", "d"), "c"), settled, nil, 1},
		{"a voter that was silent for a moment stays", stopped, knownDisks("b", "c", "d"), settled, nil, 1},
		{"a settled learner replaces a voter that has left and is silent", stopped, hasLeft(knownDisks("b", "d"), "c"), settled, []change{{quorum.Remove, "c"}, {quorum.Promote, "d"}}, 1},
		{"a voter that replies stays though its entry is unknown", leaderStatus(abc, d), knownDisks("b", "d"), settled, nil, 1},
		{"an unsettled learner does not replace a gone voter", leaderStatus(abc, d, "c"), knownDisks("b", "d"), fresh, nil, 1},
		{"a learner that is not caught up does not replace a gone voter", behind, knownDisks("b", "d"), settled, nil, 1},
		{"a gone voter stays without a replacement disk", leaderStatus(abc, nil, "c"), knownDisks("b", "c"), nil, nil, 1},
		{"a silent learner is removed", leaderStatus(abc, d, "d"), knownDisks("b", "c", "d"), settled, []change{{quorum.Remove, "d"}}, 1},
		{"a silent learner whose entry is unknown is removed", leaderStatus(abc, de, "c", "d"), knownDisks("b", "e"), settled, []change{{quorum.Remove, "d"}}, 1},
		{"a learner that has left is removed", leaderStatus(abc, d), hasLeft(knownDisks("b", "c"), "d"), settled, []change{{quorum.Remove, "d"}}, 1},
		{"a settled learner becomes the third voter", leaderStatus(members("a", "b"), d), knownDisks("b", "d"), settled, []change{{quorum.Promote, "d"}}, 1},
		{"a silent learner does not become the third voter", leaderStatus(members("a", "b"), d, "d"), knownDisks("b"), settled, []change{{quorum.Remove, "d"}}, 1},
		{"a voter whose entry's new disk is caught up is left to the repair", repaired, knownDisks("b", "c", "d"), settled, nil, 1},
		{"a settled learner doesn't wait for a new disk that is learning", learning, knownDisks("b", "c", "d"), settled, []change{{quorum.Remove, "c"}, {quorum.Promote, "d"}}, 1},
		{"a voter whose entry's new disk is learning stays without a settled learner", alone, knownDisks("b", "c"), settled, nil, 1},
		{"a settled learner replaces a silent voter of an even number", leaderStatus(abcd, members("e"), "c"), knownDisks("b", "d", "e"), settled, []change{{quorum.Remove, "c"}, {quorum.Promote, "e"}}, 1},
		{"a silent voter beyond the wanted number is removed without a successor", leaderStatus(abcd, nil, "c"), knownDisks("b", "d"), nil, []change{{quorum.Remove, "c"}}, 1},
		{"a silent voter beyond the wanted number doesn't wait for its successor", leaderStatus(abcd, members("e"), "c"), knownDisks("b", "d", "e"), map[quorum.DiskIdentity]time.Time{"disk-e": now}, []change{{quorum.Remove, "c"}}, 1},
		{"a silent voter beyond the wanted number is removed before a new disk is added", leaderStatus(abcd, nil, "c"), knownDisks("b", "d", "e"), nil, []change{{quorum.Remove, "c"}}, 1},
		{"a new disk is added before a silent voter of the wanted number is removed", leaderStatus(abc, nil, "c"), knownDisks("b", "e"), nil, []change{{quorum.AddLearner, "e"}}, 1},
		{"a silent voter of the wanted number stays", leaderStatus(abcd, nil, "c"), knownDisks("b", "d"), nil, nil, 2},
		{"voters are added for two losses", leaderStatus(abc, d), knownDisks("b", "c", "d"), settled, []change{{quorum.Promote, "d"}}, 2},
		{"a voter is added before a silent one is removed", leaderStatus(abcd, members("e"), "c"), knownDisks("b", "d", "e"), settled, []change{{quorum.Promote, "e"}}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			p := Planner{Tolerated: test.tolerated, learnerSeen: test.learnerSeen}
			var got []change
			for _, c := range p.Plan(now, test.status, test.view) {
				got = append(got, change{c.Kind, c.Member.Name})
			}
			g.Expect(got).To(Equal(test.want))
		})
	}
}

func TestReplacedDiskOfMemberIsLeftToQuorumRepair(t *testing.T) {
	g := NewWithT(t)
	view := knownDisks("b", "c")
	view["c"] = Disk{Member: quorum.Member{Name: "c", Address: "c:1", Disk: "another"}}
	s := leaderStatus(members("a", "b", "c"), nil)
	var p Planner
	g.Expect(p.Plan(time.Unix(1, 0), s, view)).To(BeEmpty())
}

// TestVoterSilentToNewLeader guards against a lost voter that counts for as long as leaders change more
// often than GoneTimeout, and against a voter that is removed as its reply to a new leader is late.
func TestVoterSilentToNewLeader(t *testing.T) {
	abcd := members("a", "b", "c", "d")
	for _, test := range []struct {
		name     string
		progress quorum.MemberProgress
		silent   bool
		isGone   bool
	}{
		{"never replied, entry silent", quorum.MemberProgress{Silence: replyTimeout + time.Millisecond}, true, true},
		{"its first reply may be late", quorum.MemberProgress{Silence: replyTimeout}, true, false},
		{"entry answers", quorum.MemberProgress{Silence: replyTimeout + time.Millisecond}, false, false},
		{"silent to earlier leaders too", quorum.MemberProgress{Silence: 300 * time.Millisecond, TotalSilence: GoneTimeout + time.Millisecond, IsOverdue: true}, true, true},
		{"silent to earlier leaders, its first reply to this one isn't due", quorum.MemberProgress{Silence: 300 * time.Millisecond, TotalSilence: GoneTimeout + time.Millisecond}, true, false},
		{"silent to earlier leaders for a short time", quorum.MemberProgress{Silence: 300 * time.Millisecond, TotalSilence: GoneTimeout, IsOverdue: true}, true, false},
		{"silent to earlier leaders, entry answers", quorum.MemberProgress{Silence: 300 * time.Millisecond, TotalSilence: GoneTimeout + time.Millisecond, IsOverdue: true}, false, false},
		{"replied to this leader", quorum.MemberProgress{Silence: GoneTimeout, HasReplied: true}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := leaderStatus(abcd, nil)
			s.Progress["disk-c"] = test.progress
			view := knownDisks("b", "c", "d")
			view["c"] = Disk{Member: member("c"), Silent: test.silent}
			var p Planner
			changes := p.Plan(time.Unix(1, 0), s, view)
			if !test.isGone {
				g.Expect(changes).To(BeEmpty())
				return
			}
			g.Expect(changes).To(Equal([]quorum.Change{{Kind: quorum.Remove, Member: member("c")}}))
		})
	}
}
