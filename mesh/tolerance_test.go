package mesh

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gossip"
)

// TestToleratedDisks guards against a quorum with too few voters for the losses that the
// settings name: those of entries, failure domains and regions.
func TestToleratedDisks(t *testing.T) {
	g := NewWithT(t)
	regions := map[string]string{"a": "east", "b": "east", "c": "west"}
	var entries []membership.Record
	for _, domain := range []string{"a", "a", "b", "c", "c", "c"} {
		r := membership.Record{FailureDomain: domain}
		r.Facts = gossip.EncodeFacts(&pb.MemberFacts{Duties: []string{dutyControl}})
		entries = append(entries, r)
	}
	entries = append(entries, membership.Record{FailureDomain: "a"}) // without a disk
	g.Expect(Tolerance{}.disks(entries, regions)).To(Equal(0))
	g.Expect(Tolerance{Instances: 2}.disks(entries, regions)).To(Equal(2))
	g.Expect(Tolerance{Instances: 2, FailureDomains: 1}.disks(entries, regions)).To(Equal(3))
	g.Expect(Tolerance{FailureDomains: 2}.disks(entries, regions)).To(Equal(5))
	g.Expect(Tolerance{FailureDomains: 9}.disks(entries, regions)).To(Equal(6))
	g.Expect(Tolerance{FailureDomains: -1, Regions: 1}.disks(entries, regions)).To(Equal(3))
	g.Expect(Tolerance{Instances: 1, Regions: 1}.disks(entries, nil)).To(Equal(1), "regions are unknown")
}
