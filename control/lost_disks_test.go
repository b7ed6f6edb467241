package control

import (
	"slices"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
)

// TestLossIsReportedForEachDisk guards against a new disk that waits for entries that were lost:
// the disk that it replaces has the same name and address, and the loss is reported for that one.
func TestLossIsReportedForEachDisk(t *testing.T) {
	g := NewWithT(t)
	m := NewMesh("a", func(string) jacinthplankv1connect.QuorumServiceClient { return failingMember{} }, nil)
	defer m.Close()
	var mu sync.Mutex
	var lost []quorum.DiskIdentity
	m.OnBulk = func(disk quorum.DiskIdentity, isLost bool) {
		mu.Lock()
		defer mu.Unlock()
		if isLost {
			lost = append(lost, disk)
		}
	}
	isReported := func(disk quorum.DiskIdentity) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return slices.Contains(lost, disk)
		}
	}
	m.mu.Lock() // both are queued before the first call
	m.queue(lane{name: "b", address: "b", isBulk: true})
	m.mu.Unlock()
	m.SendBulk(quorum.Member{Name: "b", Address: "b", Disk: "new", Replaces: "old"}, [][]byte{make([]byte, 300<<10)})
	m.SendBulk(quorum.Member{Name: "b", Address: "b", Disk: "old"}, [][]byte{[]byte("E")})
	g.Eventually(isReported("old")).Should(BeTrue())
	g.Eventually(isReported("new")).Should(BeTrue())
}
