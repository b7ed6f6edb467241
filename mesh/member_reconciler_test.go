package mesh

import (
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

// diskEntries returns entries with a disk; those named in gone are marked as gone.
func diskEntries(names, gone []string) map[string]diskEntry {
	out := map[string]diskEntry{}
	for _, n := range names {
		out[n] = diskEntry{member: member(n)}
	}
	for _, n := range gone {
		out[n] = diskEntry{member: member(n), gone: true}
	}
	return out
}

func TestPlanChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	settled := map[quorum.DiskIdentity]time.Time{"disk-d": now.Add(-2 * learnerSettleTime)}
	fresh := map[quorum.DiskIdentity]time.Time{"disk-d": now}
	type change struct {
		kind quorum.ChangeKind
		name string
	}
	tests := []struct {
		name        string
		voters      []quorum.Member
		learners    []quorum.Member
		view        map[string]diskEntry
		learnerSeen map[quorum.DiskIdentity]time.Time
		want        []change
	}{
		{"no change", members("a", "b", "c"), nil, diskEntries([]string{"b", "c"}, nil), nil, nil},
		{"a new disk is added as a learner", members("a", "b", "c"), nil, diskEntries([]string{"b", "c", "d"}, nil), nil, []change{{quorum.AddLearner, "d"}}},
		{"a learner waits while all voters are present", members("a", "b", "c"), members("d"), diskEntries([]string{"b", "c", "d"}, nil), settled, nil},
		{"a settled learner replaces a gone voter", members("a", "b", "c"), members("d"), diskEntries([]string{"b", "d"}, []string{"c"}), settled, []change{{quorum.Remove, "c"}, {quorum.Promote, "d"}}},
		{"an unsettled learner does not replace a gone voter", members("a", "b", "c"), members("d"), diskEntries([]string{"b", "d"}, []string{"c"}), fresh, nil},
		{"a gone voter stays without a replacement disk", members("a", "b", "c"), nil, diskEntries([]string{"b"}, []string{"c"}), nil, nil},
		{"a gone learner is removed", members("a", "b", "c"), members("d"), diskEntries([]string{"b", "c"}, []string{"d"}), settled, []change{{quorum.Remove, "d"}}},
		{"a settled learner becomes the third voter", members("a", "b"), members("d"), diskEntries([]string{"b", "d"}, nil), settled, []change{{quorum.Promote, "d"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			learnerSeen := test.learnerSeen
			if learnerSeen == nil {
				learnerSeen = map[quorum.DiskIdentity]time.Time{}
			}
			s := quorum.Status{Name: "a", DiskIdentity: "disk-a", IsLeader: true, HasQuorum: true, Voters: test.voters, Learners: test.learners}
			var got []change
			for _, c := range planChanges(now, s, test.view, learnerSeen) {
				got = append(got, change{c.Kind, c.Member.Name})
			}
			g.Expect(got).To(Equal(test.want))
		})
	}
}

func TestReplacedDiskOfMemberIsLeftToQuorumRepair(t *testing.T) {
	g := NewWithT(t)
	view := diskEntries([]string{"b", "c"}, nil)
	view["c"] = diskEntry{member: quorum.Member{Name: "c", Address: "c:1", Disk: "another"}}
	s := quorum.Status{Name: "a", DiskIdentity: "disk-a", Voters: members("a", "b", "c")}
	g.Expect(planChanges(time.Unix(1, 0), s, view, map[quorum.DiskIdentity]time.Time{})).To(BeEmpty())
}
