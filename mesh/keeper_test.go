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

// seats are entries with a disk; a name in gone is no longer there.
func seats(names, gone []string) map[string]seat {
	out := map[string]seat{}
	for _, n := range names {
		out[n] = seat{member: member(n)}
	}
	for _, n := range gone {
		out[n] = seat{member: member(n), gone: true}
	}
	return out
}

func TestMembersFollowTheDisks(t *testing.T) {
	now := time.Unix(1000, 0)
	settled := map[quorum.DiskIdentity]time.Time{"disk-d": now.Add(-2 * settleTime)}
	fresh := map[quorum.DiskIdentity]time.Time{"disk-d": now}
	type change struct {
		kind quorum.ChangeKind
		name string
	}
	tests := []struct {
		name     string
		voters   []quorum.Member
		learners []quorum.Member
		view     map[string]seat
		since    map[quorum.DiskIdentity]time.Time
		want     []change
	}{
		{"all is well", members("a", "b", "c"), nil, seats([]string{"b", "c"}, nil), nil, nil},
		{"a new disk learns first", members("a", "b", "c"), nil, seats([]string{"b", "c", "d"}, nil), nil, []change{{quorum.AddLearner, "d"}}},
		{"a learner waits while all voters are there", members("a", "b", "c"), members("d"), seats([]string{"b", "c", "d"}, nil), settled, nil},
		{"it takes the place of one that is gone", members("a", "b", "c"), members("d"), seats([]string{"b", "d"}, []string{"c"}), settled, []change{{quorum.Remove, "c"}, {quorum.Promote, "d"}}},
		{"not before it has settled", members("a", "b", "c"), members("d"), seats([]string{"b", "d"}, []string{"c"}), fresh, nil},
		{"nobody goes without another disk", members("a", "b", "c"), nil, seats([]string{"b"}, []string{"c"}), nil, nil},
		{"a learner that is gone is removed", members("a", "b", "c"), members("d"), seats([]string{"b", "c"}, []string{"d"}), settled, []change{{quorum.Remove, "d"}}},
		{"two voters take a third", members("a", "b"), members("d"), seats([]string{"b", "d"}, nil), settled, []change{{quorum.Promote, "d"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			since := test.since
			if since == nil {
				since = map[quorum.DiskIdentity]time.Time{}
			}
			s := quorum.Status{Name: "a", DiskIdentity: "disk-a", IsLeader: true, HasQuorum: true, Voters: test.voters, Learners: test.learners}
			var got []change
			for _, c := range planMembers(now, s, test.view, since) {
				got = append(got, change{c.Kind, c.Member.Name})
			}
			g.Expect(got).To(Equal(test.want))
		})
	}
}

func TestANewDiskUnderAMembersNameIsLeftToRepair(t *testing.T) {
	g := NewWithT(t)
	view := seats([]string{"b", "c"}, nil)
	view["c"] = seat{member: quorum.Member{Name: "c", Address: "c:1", Disk: "another"}}
	s := quorum.Status{Name: "a", DiskIdentity: "disk-a", Voters: members("a", "b", "c")}
	g.Expect(planMembers(time.Unix(1, 0), s, view, map[quorum.DiskIdentity]time.Time{})).To(BeEmpty())
}
