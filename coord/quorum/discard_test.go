package quorum

import (
	"errors"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// TestDiscardIsRepeatedAfterPowerLoss guards against a disk that comes back with an older log
// after its emptying was cut short.
func TestDiscardIsRepeatedAfterPowerLoss(t *testing.T) {
	g := NewWithT(t)
	for n, done := 0, false; !done; n++ {
		for c := (&choices{}); ; {
			folder := diskWithOlderLog(g)
			failAfter(folder, n, errPowerLoss)
			done = Discard(folder) == nil
			losePower(folder, c.choose)
			s, _, err := openStorage(folder, "d2", simulatedTail)
			var corrupt *wal.CorruptError
			if errors.As(err, &corrupt) {
				g.Expect(Discard(folder)).To(Succeed())
				s, _, err = openStorage(folder, "d2", simulatedTail)
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.identity).To(Equal(DiskIdentity("d2")), "loss of power after %d operations, fates %v", n, c.taken)
			g.Expect(s.entries.lastIndex()).To(BeZero())
			if !c.advance() {
				break
			}
		}
	}
}

// diskWithOlderLog returns a disk with a damaged log and an older one, whose removal was lost
// with the power.
func diskWithOlderLog(g *WithT) *wal.MemoryFolder {
	d := &diskScript{folder: wal.NewMemoryFolder()}
	g.Expect(d.open()).To(Succeed())
	g.Expect(d.append(1, 1)).To(Succeed())
	g.Expect(d.reopen()).To(Succeed())
	losePower(d.folder, func(int) int { return 0 })
	names, err := d.folder.List()
	g.Expect(err).NotTo(HaveOccurred())
	logs := slices.DeleteFunc(names, func(name string) bool { return !wal.IsLog(name) })
	g.Expect(logs).To(HaveLen(2))
	d.folder.Corrupt(logs[1], 40)
	var corrupt *wal.CorruptError
	g.Expect(errors.As(d.check(), &corrupt)).To(BeTrue())
	return d.folder
}
