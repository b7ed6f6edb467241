package operator

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// TestStatusNamesDisksThatNeedAttention guards against a quorum that works on with too few
// disks while the status says that all is well.
func TestStatusNamesDisksThatNeedAttention(t *testing.T) {
	g := NewWithT(t)
	report := func(name string, d *pb.DiskStatus) statusReport {
		return statusReport{member: member{name: name}, status: &pb.StatusResponse{Disk: d}}
	}
	o := newOverview([]statusReport{
		{member: member{name: "silent"}},
		report("without-disk", nil),
		report("running", &pb.DiskStatus{State: "running"}),
		report("full", &pb.DiskStatus{State: "failing", Error: "no space left on device"}),
		report("found", &pb.DiskStatus{State: "refused", Error: "invalid frame"}),
		report("damaged", &pb.DiskStatus{State: "refused", Error: "invalid frame", Kept: "no leader"}),
	})
	var text strings.Builder
	g.Expect(o.write(&text)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("Disk of full: reads or writes fail and are tried again: no space left on device."))
	g.Expect(text.String()).To(ContainSubstring("Disk of found: damaged, is being replaced. Damage: invalid frame."))
	g.Expect(text.String()).To(ContainSubstring("Disk of damaged: DAMAGED and kept, because the last attempt to replace it failed: no leader."))
	g.Expect(strings.Count(text.String(), "Disk of")).To(Equal(3))
}
