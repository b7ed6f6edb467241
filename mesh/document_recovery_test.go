package mesh

import (
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/document"
)

// TestNoOlderDocumentAfterLossOfPowerOfAll guards against an older version that comes into force
// after a loss of power of all entries, while there is no quorum that could tell of the one that
// was acknowledged: it is in the log of a member, and an older one in its snapshot.
func TestNoOlderDocumentAfterLossOfPowerOfAll(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newTestFleetWithDisks(t, testMembers+1, []*faultyDisk{{}, {}, {}})
	leader := f.awaitLeader(g)
	const newest = 8
	for number := uint64(1); number < newest; number++ {
		f.put(g, leader, document.Document{Number: number, Body: noise(number, 1<<15)})
	}
	// The log that a member starts with is replaced once a snapshot is on its disk.
	g.Eventually(filepath.Join(f.folders[0], "log-0000000000000001")).WithTimeout(recoveryTimeout).ShouldNot(BeAnExistingFile())
	f.endAll()
	// A change that is sent again takes two entries of the log, so their number doesn't tell which
	// one a snapshot holds. None that holds the newest one is taken with a large log.
	f.logBytes = logBytes
	for i := range f.entries {
		f.startAgain(g, i)
	}
	f.put(g, f.awaitLeader(g), document.Document{Number: newest, Body: noise(newest, 1<<15)})
	f.endAll()
	f.startAgain(g, 0)
	f.startAgain(g, testMembers)
	member := f.entries[0]
	g.Eventually(func() bool { return member.quorum.currentNode() != nil }).WithTimeout(5 * time.Second).Should(BeTrue())
	g.Expect(member.quorum.state.register.Current().Number).To(And(BeNumerically(">", 0), BeNumerically("<", newest)), "number in the snapshot")
	g.Consistently(func() []uint64 {
		return []uint64{member.Document().Number, f.entries[testMembers].Document().Number}
	}).WithTimeout(2*confirmWait).Should(HaveEach(Or(BeZero(), BeEquivalentTo(newest))), "versions in force")
	f.startAgain(g, 1)
	for _, i := range []int{0, 1, testMembers} {
		g.Eventually(func() uint64 { return f.entries[i].Document().Number }).WithTimeout(serviceResumed).Should(BeEquivalentTo(newest))
	}
}
