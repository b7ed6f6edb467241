package mesh

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/recovery"
)

// Guards against a leader that has just started and takes voters that it hasn't called yet for silent:
// they are removed sooner, though their first reply may only be late.
func TestEntryThatWasNeverHeardIsNotSilent(t *testing.T) {
	g := NewWithT(t)
	f := newDiskFleet(t, 2)
	f.start(2, 1)
	f.now = f.now.Add(recovery.GoneTimeout + time.Second)
	disks := f.reconciler.diskEntries(f.now)
	g.Expect(disks).To(HaveLen(3))
	g.Expect(disks[diskEntryName(1)].Silent).To(BeTrue())
	g.Expect(disks[diskEntryName(2)].Silent).To(BeFalse())
}
